/*
 * Copyright (c) 2026 the fernjunction authors
 *
 * Permission to use, copy, modify, and distribute this software for any
 * purpose with or without fee is hereby granted, provided that the above
 * copyright notice and this permission notice appear in all copies.
 *
 * THE SOFTWARE IS PROVIDED "AS IS" AND THE AUTHOR DISCLAIMS ALL WARRANTIES
 * WITH REGARD TO THIS SOFTWARE.  See LICENSE for the whole text.
 */
#ifndef CONF_H
#define CONF_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "obj.h"

/*
 * The merge of configuration.  Each object has a version that the platform
 * gave it; for each object the highest version wins, in whatever order,
 * however often and however late offers arrive.  The state is a function of
 * the set of offers alone:
 *
 *  - in force is the highest version that is valid or a deletion;
 *  - a higher version that is not valid is kept beside it as rejected;
 *  - `floor` is a revision up to which a complete list of a part has been
 *    seen: an object of it not known here with a version at or below it has
 *    been deleted.
 *
 * No I/O is done here; changes go out through a callback.
 */

enum { CONF_BUCKETS = 64, CONF_LISTENERS_MAX = 2 };

/*
 * The two parts of a configuration: a box that only passes requests on to
 * homes holds the rules, and no backend servers.  Each part has half of the
 * buckets, a digest and a floor of its own.
 */
enum conf_part { CONF_RULES, CONF_BACKENDS, CONF_PARTS };

struct conf_entry {
	struct str key; /* "kind/name" */
	enum obj_kind kind;
	struct str name;
	uint64_t version; /* in force; 0: none yet */
	bool deleted;
	json_t *spec; /* of the version in force */
	struct obj *obj; /* the same, checked */
	uint64_t rejected_version; /* rejected; 0: none */
	json_t *rejected_spec;
	char *rejected_reason;
	struct str source; /* who offered the version in force */
	uint64_t hash; /* this entry's share of the digest */
};

/* Called when another version of an object comes into force. */
typedef void conf_changed_fn(void *, const struct conf_entry *);

/* What became of an offer. */
enum conf_result { CONF_APPLIED, CONF_DUPLICATE, CONF_STALE, CONF_REJECTED };

struct conf;

/* The callback, if not NULL, is the first listener. */
struct conf *conf_new(conf_changed_fn *, void *);

/* Tell changes to one more listener, CONF_LISTENERS_MAX at most. */
void conf_add_listener(struct conf *, conf_changed_fn *, void *);
void conf_free(struct conf *);

/*
 * Offer one version of one object.  `spec` is borrowed and may be NULL for
 * a deletion.  ERR_OBJECT is set only where the key itself is not valid;
 * a spec that is not valid is kept as rejected, with the reason.
 */
enum conf_result conf_offer(struct conf *, struct str key, uint64_t version,
    bool deleted, json_t *spec, struct str source, GError **);

/*
 * A complete list at `revision` has been offered; `keys` holds the keys in
 * it.  Whatever is not in it at or below that revision has been deleted.
 */
void conf_apply_list(struct conf *, uint64_t revision, GHashTable *keys);

/*
 * The same for some kinds only, a bit 1 << kind for each.  The floors stay:
 * their owner raises them once lists of all kinds of a part are at or above
 * them.
 */
void conf_apply_list_of_kinds(
    struct conf *, unsigned kinds, uint64_t revision, GHashTable *keys);

/*
 * What is here is complete up to `revision`: by a list, or because a peer
 * with an equal digest says so of its own.  A watch may skip, and is no ground.
 */
void conf_raise_floor(struct conf *, enum conf_part, uint64_t revision);
uint64_t conf_floor_of(const struct conf *, enum conf_part);
/* The lower one of both. */
uint64_t conf_floor(const struct conf *);

enum conf_part conf_part_of(enum obj_kind);

/* Digest of all that is in force or rejected; equal sets, equal digests. */
uint64_t conf_digest(const struct conf *);
uint64_t conf_digest_of(const struct conf *, enum conf_part);
uint64_t conf_bucket_digest(const struct conf *, unsigned bucket);
unsigned conf_bucket(struct str key);
enum conf_part conf_part_of_bucket(unsigned bucket);

const struct conf_entry *conf_get(const struct conf *, struct str key);

/* Visit all entries; deletions too. */
typedef void conf_visit_fn(void *, const struct conf_entry *);
void conf_each(const struct conf *, conf_visit_fn *, void *);

/* Objects in force. */
size_t conf_count(const struct conf *);

#endif

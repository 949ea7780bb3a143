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
 * The configuration: a replicated set of versioned objects.  The platform, the
 * external service that stores them, assigns the versions.  For each object the
 * highest version wins, in whatever order, however often and however late
 * versions are offered; an object with a serial goes by that first.  But for
 * the time that entries are kept after a restore of the platform, the state
 * depends only on the set of offers:
 *
 *  - The version in force is the highest one that is valid or a deletion.
 *  - A higher version that is not valid is kept beside it as rejected.
 *  - The floor is a revision up to which a complete list of a part is known:
 *    an object of that part that is absent here, with a version at or below
 *    the floor, has been deleted.
 *
 * No I/O is done here; changes are reported by callbacks.
 */

enum { CONF_BUCKETS = 64, CONF_LISTENERS_MAX = 2 };

/*
 * The two parts of a configuration.  A box that only forwards requests to the
 * owners of services holds the rules but no backend servers.  Each part has
 * half of the buckets, and its own digest and floor.
 */
enum conf_part { CONF_RULES, CONF_BACKENDS, CONF_PARTS };

struct conf_entry {
	struct str key; /* "kind/name" */
	enum obj_kind kind;
	struct str name; /* points into `key` */
	uint64_t version; /* in force, see version.h; 0: none yet */
	uint64_t serial; /* of the version in force, see conf_object */
	bool deleted;
	uint64_t deletion_number; /* counts the deletions before it */
	/* Came into force before a complete list of its part was known. */
	bool existed;
	json_t *spec; /* of the version in force; NULL if deleted */
	struct obj *obj; /* parsed `spec`; NULL if deleted */
	uint64_t rejected_version; /* rejected version; 0: none */
	json_t *rejected_spec;
	char *rejected_reason; /* error message */
	struct str source; /* origin of the version in force */
	uint64_t hash; /* contribution to the digests; 0: none */
};

/* Called when another version of an object comes into force. */
typedef void conf_changed_fn(void *, const struct conf_entry *);

/* A version of an object. */
struct conf_object {
	struct str key;
	uint64_t version; /* see version.h */
	/*
	 * A number that its operator raises with each change; 0: there is none.
	 * Contents with a lower serial never replace those with a higher one.
	 */
	uint64_t serial;
	bool deleted;
	json_t *spec; /* NULL if deleted */
};

/* Result of conf_offer(). */
enum conf_result {
	CONF_APPLIED, /* the version came into force */
	CONF_DUPLICATE, /* the version was in force or rejected already */
	CONF_STALE, /* a newer version or the floor supersedes it */
	CONF_REJECTED /* the key or the spec is not valid */
};

struct conf;

/* The callback, if not NULL, is the first listener. */
struct conf *conf_new(conf_changed_fn *, void *);

/* Adds a callback for changes; there can be CONF_LISTENERS_MAX at most. */
void conf_add_listener(struct conf *, conf_changed_fn *, void *);
void conf_free(struct conf *);

/*
 * Offers one version of one object.  `spec` is borrowed and may be NULL for a
 * deletion.  A spec that is not valid is kept as rejected with the reason,
 * except for a backend server, whose entry is deleted.  CONF_REJECTED comes
 * with ERR_OBJECT if the key is not valid, and with the error of the spec if it
 * is that of a backend server; else no error is set.
 */
enum conf_result conf_offer(
    struct conf *, const struct conf_object *, struct str source, GError **);

/*
 * Completes the offers of a list of all objects at `revision`; `keys` is the
 * set of their keys (char *).  Objects that are not in it and have a version at
 * or below the revision are deleted, and the floors are raised to it.  A
 * revision below the floor is ignored.
 */
void conf_apply_list(struct conf *, uint64_t revision, GHashTable *keys);

/*
 * The same for the kinds in `kinds` only, a set of bits 1 << kind.  It leaves
 * the floors as they are: the caller raises them when lists of all kinds of a
 * part have reached a revision.
 */
void conf_apply_list_of_kinds(
    struct conf *, unsigned kinds, uint64_t revision, GHashTable *keys);

/*
 * Declares a part complete up to `revision`.  This is known from a list, or
 * from a peer with an equal digest that has this floor.  It is not known from a
 * watch, which may skip revisions.
 */
void conf_raise_floor(struct conf *, enum conf_part, uint64_t revision);
uint64_t conf_floor_of(const struct conf *, enum conf_part);
/* Returns the lower of the two floors. */
uint64_t conf_floor(const struct conf *);

/*
 * Returns the revision up to which a list is applied that was complete at the
 * revision `listed`.  It is lower during a restore of the platform.
 */
uint64_t conf_applied_revision(const struct conf *, uint64_t listed);

enum conf_part conf_part_of(enum obj_kind);

/* Returns whether an entry is a deletion that follows from the floor. */
bool conf_is_implied(const struct conf *, const struct conf_entry *);

/* Called when the platform has a later epoch, but for the first one. */
typedef void conf_epoch_fn(void *, uint64_t epoch);

/*
 * Sets the callback for restores of the platform, for a process that reads the
 * platform itself.  From the callback until conf_end_restore(), entries are
 * kept that the platform may have lost, see conf.c; the platform's own state is
 * to be listed again after that.
 */
void conf_on_restore(struct conf *, conf_epoch_fn *, void *);
void conf_end_restore(struct conf *);

/* Returns whether entries are kept that the platform may have lost. */
bool conf_is_restoring(const struct conf *);

/* Records an epoch that the platform has. */
void conf_note_epoch(struct conf *, uint64_t epoch);

/*
 * Records a current revision of the platform; that of a stale list may be older
 * than the copy that was restored.  If it is of the latest epoch, all that has
 * a higher one there was written after the restore.
 */
void conf_note_revision(struct conf *, uint64_t revision);

/* Return the latest and the first epoch known; 0: none. */
uint64_t conf_epoch(const struct conf *);
uint64_t conf_first_epoch(const struct conf *);

/*
 * Digests of all versions in force or rejected, except deletions.  Equal sets
 * have equal digests.
 */
uint64_t conf_digest(const struct conf *);
uint64_t conf_digest_of(const struct conf *, enum conf_part);
uint64_t conf_bucket_digest(const struct conf *, unsigned bucket);
unsigned conf_bucket(struct str key);
enum conf_part conf_part_of_bucket(unsigned bucket);

/* Returns NULL if there is no entry; the entry may be a deletion. */
const struct conf_entry *conf_get(const struct conf *, struct str key);

/* Calls the function for all entries, including deletions. */
typedef void conf_visit_fn(void *, const struct conf_entry *);
void conf_each(const struct conf *, conf_visit_fn *, void *);

/* Returns the number of objects in force, without deletions. */
size_t conf_count(const struct conf *);

#endif

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
#include <glib.h>
#include <string.h>

#include "allowance.h"
#include "clk.h"
#include "contact.h"
#include "granter.h"
#include "limit.h"
#include "receipt.h"

/* A gate reports what it granted at most once in this time. */
#define REPORT_NS (50 * NS_MS)
/* A grant is reported after this time even if there are few of them. */
#define REPORT_MAX_NS (200 * NS_MS)
/*
 * Grants of which a gate that takes over was not told are this part of the
 * limit and this number at most, so that two gates that fail in one window stay
 * within the tolerance of the limit, 1/10 and 20 requests.
 */
enum { UNREPORTED_PART = 25, UNREPORTED_MIN = 4 };
/* Records in one message; more of them go into further messages. */
enum { RECORDS_MAX = 256 };
/* Usage is reported in steps of this part of the limit. */
enum { REPORT_STEP = 32 };
/*
 * Usage of customers with such a limit is not reported, as three gates that
 * grant all of it are within the tolerance of 20 requests.
 */
enum { SMALL_LIMIT = 10 };
/*
 * A gate that does not answer a ping in this time does not answer.  The query
 * that waits for it must have its reply within the requester's timeout of
 * 120 ms.
 */
#define PING_WAIT_NS (50 * NS_MS)
/* A gate from which a message arrived so lately is not pinged. */
#define HEARD_NS (20 * NS_MS)
/* Longest wait for the usage that a gate requested when it started. */
#define REPLY_WAIT_NS (60 * NS_MS)
/* Time between requests to a gate that does not know this one as a hub yet. */
#define REQUEST_AGAIN_NS (100 * NS_MS)
/*
 * A gate that has been in a customer's ranking for so long has been told of
 * usage over half of the limit, if there was any.
 */
#define INFORMED_NS (1 * NS_S)
/*
 * A gate that forwards queries to the next one in the ranking, as one does that
 * shuts down, is left out for so long.  By then the member list says so.
 */
#define DECLINED_NS (1 * NS_S)
/* A gate that lost a query is not queried for so long, or until it is heard. */
#define AVOID_NS (500 * NS_MS)
/* Queries that are held longer than this have been given up by the requester.
 */
#define HOLD_MAX_NS (110 * NS_MS)
#define HOLD_POLL_NS (10 * NS_MS)
enum { HELD_MAX = 1024 };
/*
 * Gates, by their starts, whose grants are kept for a customer.  Few can grant
 * in one window, as only an owner that fails is replaced.
 */
enum { ENTRIES_MAX = 32 };
/* Boxes of which it is kept what others granted to a customer. */
enum { CARRIED_MAX = 1024 };
/*
 * Where nothing is known of the usage, this part of the limit and this number
 * of requests are taken to be unused.  They are within the tolerance of the
 * limit, 1/10 and 20 requests.
 */
enum { UNKNOWN_PART = 20, UNKNOWN_MIN = 8 };

/*
 * Stands for the inbox of the gates whose grants are not known, and presumed.
 */
static const struct str PRESUMED = {"?", 1};

enum sync_state {
	SYNC_NONE, /* usage was not requested from the gate */
	SYNC_REQUESTED,
	SYNC_UNLISTED, /* the gate does not know this one as a hub yet */
	SYNC_DONE /* the gate has reported what it knows */
};

struct peer {
	char *inbox;
	uint64_t started_ms; /* by the member list */
	struct contact_hall *hall; /* NULL: not known */
	bool is_listed;
	int64_t heard_at, pinged_at, requested_at, avoid_until;
	int64_t declined_until; /* it does not grant itself before this time */
	bool is_silent; /* it did not answer a ping */
	enum sync_state sync;
	bool is_informed; /* its reply said so */
};

/* What this gate told another one of a customer's ranking. */
struct link {
	struct peer *peer; /* NULL: none */
	/* It knows what this gate granted, up to the totals below. */
	bool told;
	uint64_t told_granted, told_returned;
	int64_t told_at;
};

/* What one gate has granted since its start, as far as known. */
struct entry {
	char *inbox;
	uint64_t started_ms;
	uint64_t granted, returned;
	struct allowance allowance;
};

/* What this gate granted to the boxes of one hall. */
struct hall_use {
	const struct contact_hall *hall; /* NULL: not told */
	struct allowance granted;
};

/* What other gates granted to one box, by its own account. */
struct carried {
	char *box; /* its inbox */
	const struct contact_hall *hall; /* NULL: not told */
	struct allowance got;
};

struct account {
	char *name;
	GPtrArray *by_hall; /* struct hall_use * */
	GPtrArray *carried; /* struct carried * */
	/*
	 * struct entry * of all gates that granted in this window; the first is
	 * that of this gate.
	 */
	GPtrArray *entries;
	struct bucket bucket;
	bool grants; /* this gate grants the customer's requests */
	int64_t informed_at; /* last time that usage was known; 0: never */
	bool is_current; /* seen in the update under way */
	bool is_changed; /* in `changed` of the granter */
	int64_t entered_at; /* since when this gate is in the ranking */
	/*
	 * Since when this gate is one of those that the owner tells of usage,
	 * or was until those before it were gone; 0: it is not.
	 */
	int64_t told_since;
	bool was_told; /* it was for long enough when those before it went */
	/* Grants above half of the limit that were not reported yet. */
	uint32_t unreported;
	/* The gates before this one in the ranking. */
	struct peer *ahead[GRANTER_RANKS - 1];
	unsigned n_ahead;
	struct link links[GRANTER_RANKS - 1]; /* to the other gates of it */
};

struct held {
	struct msg_rate_query query; /* its strings are copies */
	struct str from;
	int64_t since;
};

struct granter {
	struct str inbox;
	uint64_t started_ms;
	int64_t window;
	const struct granter_ops *ops;
	void *ctx;
	struct contacts contacts;
	struct receipts *receipts;
	GHashTable *peers; /* char * inbox to struct peer * */
	GHashTable *accounts; /* char * customer to struct account * */
	GPtrArray *changed; /* struct account * with grants to report */
	GQueue held; /* struct held * */
	/* Some customer's usage is not known yet to this gate, its owner. */
	bool unsettled;
	int64_t reported_at;
	int64_t opened_at; /* of the first update; 0: none yet */
	unsigned told_joined, told_all; /* to the operation share_changed */
};

static void mark_changed(struct granter *, struct account *, int64_t);

static void
peer_free(void *p)
{
	struct peer *peer = p;

	g_free(peer->inbox);
	g_free(peer);
}

static void
entry_free(void *p)
{
	struct entry *e = p;

	g_free(e->inbox);
	g_free(e);
}

static void
carried_free(void *p)
{
	struct carried *c = p;

	g_free(c->box);
	g_free(c);
}

static void
account_free(void *p)
{
	struct account *a = p;

	g_ptr_array_free(a->by_hall, TRUE);
	g_ptr_array_free(a->carried, TRUE);

	g_ptr_array_free(a->entries, TRUE);
	g_free(a->name);
	g_free(a);
}

static void
held_free(void *p)
{
	struct held *h = p;

	str_free(&h->query.customer);
	str_free(&h->query.requester);
	str_free(&h->query.hall);
	str_free(&h->from);
	g_free(h);
}

struct granter *
granter_new(struct str inbox, struct str hall, uint64_t started_ms,
    const struct granter_ops *ops, void *ctx)
{
	struct granter *g = g_new0(struct granter, 1);

	g->inbox = str_dup(inbox);
	g->started_ms = started_ms;
	g->ops = ops;
	g->ctx = ctx;
	contacts_init(&g->contacts, hall);
	g->receipts = receipts_new();
	g->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	g->accounts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_free);
	g->changed = g_ptr_array_new();
	g_queue_init(&g->held);
	return g;
}

void
granter_free(struct granter *g)
{
	g_queue_clear_full(&g->held, held_free);
	g_ptr_array_free(g->changed, TRUE);
	g_hash_table_destroy(g->accounts);
	g_hash_table_destroy(g->peers);
	receipts_free(g->receipts);
	contacts_clear(&g->contacts);
	str_free(&g->inbox);
	g_free(g);
}

void
granter_set_window(struct granter *g, int64_t window)
{
	if (window == g->window)
		return;
	g->window = window;
	receipts_set_window(g->receipts, window);
	g_ptr_array_set_size(g->changed, 0);
	g_hash_table_remove_all(g->accounts);
}

/* Returns a copy; an empty string may have no bytes at all. */
static char *
copy_of(struct str s)
{
	return s.n == 0 ? g_strdup("") : g_strndup(s.p, s.n);
}

static void *
find(GHashTable *table, struct str key)
{
	char *text = copy_of(key);
	void *found = g_hash_table_lookup(table, text);

	g_free(text);
	return found;
}

static struct peer *
peer_of(struct granter *g, struct str inbox)
{
	struct peer *p = find(g->peers, inbox);

	if (p == NULL) {
		p = g_new0(struct peer, 1);
		p->inbox = copy_of(inbox);
		g_hash_table_insert(g->peers, p->inbox, p);
	}
	return p;
}

static bool
is_self(const struct granter *g, struct str inbox)
{
	return str_eq(g->inbox, inbox);
}

static struct link *
link_to(struct account *a, const struct peer *p)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(a->links); i++)
		if (a->links[i].peer == p)
			return &a->links[i];
	return NULL;
}

/* Returns the customer's limit in a window; 0 if it has none. */
static uint32_t
limit_of(const struct granter *g, struct str customer)
{
	double rate, burst;

	if (!g->ops->terms(g->ctx, customer, &rate, &burst) || rate <= 0)
		return 0;
	return allowance_limit(rate, burst, g->window);
}

/* Returns what a gate granted; a new entry if nothing is known of it. */
static struct entry *
entry_of(struct granter *g, struct account *a, struct str inbox,
    uint64_t started_ms, int64_t now)
{
	struct entry *e;
	guint i;

	for (i = 0; i < a->entries->len; i++) {
		e = g_ptr_array_index(a->entries, i);
		if (e->started_ms == started_ms &&
		    str_eq(str_c(e->inbox), inbox))
			return e;
	}
	e = g_new0(struct entry, 1);
	e->inbox = copy_of(inbox);
	e->started_ms = started_ms;
	allowance_init(&e->allowance, g->window, now);
	g_ptr_array_add(a->entries, e);
	return e;
}

static struct entry *
own_entry(const struct account *a)
{
	return g_ptr_array_index(a->entries, 0);
}

/*
 * Returns how many grants of all gates count, and drops the entries of others
 * of which none does.
 */
static uint32_t
used_of(struct account *a, int64_t now)
{
	uint64_t sum = 0;
	struct entry *e;
	uint32_t used;
	guint i;

	for (i = a->entries->len; i-- > 0;) {
		e = g_ptr_array_index(a->entries, i);
		used = allowance_used(&e->allowance, now);
		sum += used;
		if (used == 0 && i > 0)
			g_ptr_array_remove_index_fast(a->entries, i);
	}
	return (uint32_t)MIN(sum, G_MAXINT32);
}

/* Returns the time until fewer grants count. */
static int64_t
wait_of(struct account *a, int64_t now)
{
	int64_t wait, least = 0;
	struct entry *e;
	guint i;

	for (i = 0; i < a->entries->len; i++) {
		e = g_ptr_array_index(a->entries, i);
		wait = allowance_wait(&e->allowance, now);
		if (wait > 0 && (least == 0 || wait < least))
			least = wait;
	}
	return least;
}

/* Returns what a box was granted by others; NULL if there is no room. */
static struct carried *
carried_of(struct granter *g, struct account *a, struct str box, int64_t now)
{
	struct carried *c;
	guint i;

	for (i = 0; i < a->carried->len; i++) {
		c = g_ptr_array_index(a->carried, i);
		if (str_eq(str_c(c->box), box))
			return c;
	}
	if (a->carried->len >= CARRIED_MAX)
		return NULL;
	c = g_new0(struct carried, 1);
	c->box = copy_of(box);
	allowance_init(&c->got, g->window, now);
	g_ptr_array_add(a->carried, c);
	return c;
}

/* What this gate granted to a hall; the hall may be NULL. */
static struct allowance *
granted_to(struct granter *g, struct account *a,
    const struct contact_hall *hall, int64_t now)
{
	struct hall_use *u;
	guint i;

	for (i = 0; i < a->by_hall->len; i++) {
		u = g_ptr_array_index(a->by_hall, i);
		if (u->hall == hall)
			return &u->granted;
	}
	u = g_new0(struct hall_use, 1);
	u->hall = hall;
	allowance_init(&u->granted, g->window, now);
	g_ptr_array_add(a->by_hall, u);
	return &u->granted;
}

/* How many requests are used, of how many, and until when. */
struct use {
	uint64_t used;
	uint32_t max;
	int64_t wait; /* until fewer count; 0: none count */
};

static void
add_use(struct use *use, struct allowance *a, int64_t now)
{
	int64_t wait = allowance_wait(a, now);

	use->used += allowance_used(a, now);
	if (wait > 0 && (use->wait == 0 || wait < use->wait))
		use->wait = wait;
}

/*
 * Adds what boxes of halls in a state, or of all if that is NULL, say that
 * others granted; drops what no longer counts.
 */
static void
add_carried(struct granter *g, struct account *a,
    const enum contact_state *state, struct use *use, int64_t now)
{
	struct carried *c;
	guint i;

	for (i = a->carried->len; i-- > 0;) {
		c = g_ptr_array_index(a->carried, i);
		if (allowance_used(&c->got, now) == 0)
			g_ptr_array_remove_index_fast(a->carried, i);
		else if (state == NULL ||
		    contacts_state(&g->contacts, c->hall, now) == *state)
			add_use(use, &c->got, now);
	}
}

/*
 * The use of the whole fleet.  What other gates report and what boxes say that
 * these granted are the same grants, and either may be incomplete.
 */
static struct use
use_of_fleet(struct granter *g, struct account *a, uint32_t limit, int64_t now)
{
	struct use use = {.max = limit}, carried = {0};

	add_carried(g, a, NULL, &carried, now);
	add_use(&use, &own_entry(a)->allowance, now);
	use.used = MAX(used_of(a, now), use.used + carried.used);
	use.wait = wait_of(a, now);
	if (carried.wait > 0 && (use.wait == 0 || carried.wait < use.wait))
		use.wait = carried.wait;
	return use;
}

static uint32_t
presumed_of(struct account *a, int64_t now)
{
	struct entry *e;
	guint i;

	for (i = 0; i < a->entries->len; i++) {
		e = g_ptr_array_index(a->entries, i);
		if (str_eq(str_c(e->inbox), PRESUMED))
			return allowance_used(&e->allowance, now);
	}
	return 0;
}

/* Returns what gates reported, and this one granted. */
static uint32_t
reported_of(struct account *a, int64_t now)
{
	uint32_t used = used_of(a, now);

	return used - MIN(used, presumed_of(a, now));
}

/* What halls that are joining may have been granted by others. */
static uint64_t
unknown_use(struct granter *g, uint32_t share, int64_t now)
{
	const struct contact_hall *h;
	double sum = 0;
	guint i;

	for (i = 0; i < g->contacts.halls->len; i++) {
		h = g_ptr_array_index(g->contacts.halls, i);
		if (contacts_state(&g->contacts, h, now) == CONTACT_JOINING)
			sum += contact_unknown_use(h, g->window, now) * share;
	}
	return (uint64_t)sum;
}

/*
 * The use of the halls in a state, and their share of the limit.  The others
 * may be cut off, and then grant theirs.
 */
static struct use
use_of_part(struct granter *g, struct account *a, uint32_t limit,
    enum contact_state state, int64_t now)
{
	unsigned all = contacts_count_all(&g->contacts, now),
		 part = contacts_count(&g->contacts, state, now);
	struct use use = {
	    .max = (uint32_t)MAX((uint64_t)limit * part / all, 1)};
	struct use carried = {0};
	struct hall_use *u;
	uint64_t presumed = 0;
	guint i;

	for (i = 0; i < a->by_hall->len; i++) {
		u = g_ptr_array_index(a->by_hall, i);
		if (contacts_state(&g->contacts, u->hall, now) == state)
			add_use(&use, &u->granted, now);
	}
	add_carried(g, a, &state, &carried, now);
	/*
	 * Boxes tell a gate that has run for a window all that they used; those
	 * that started with it do not know.
	 */
	if (now - g->opened_at < g->window)
		presumed = (uint64_t)presumed_of(a, now) * part / all;
	if (state == CONTACT_JOINING)
		presumed += unknown_use(g, limit / all, now);
	use.used += MAX(carried.used, presumed);
	if (carried.wait > 0 && (use.wait == 0 || carried.wait < use.wait))
		use.wait = carried.wait;
	return use;
}

static bool
has_all_halls(const struct granter *g, int64_t now)
{
	return contacts_count(&g->contacts, CONTACT_JOINED, now) >=
	    contacts_count_all(&g->contacts, now);
}

/*
 * Returns the use that decides about a request of a hall, which may be NULL.
 * Where halls have not joined it is that of those in the same state, unless
 * more is known to be used of the whole limit.
 */
static struct use
use_of(struct granter *g, struct account *a, const struct contact_hall *hall,
    uint32_t limit, int64_t now)
{
	struct use part;

	if (has_all_halls(g, now) || limit <= SMALL_LIMIT)
		return use_of_fleet(g, a, limit, now);
	part = use_of_part(
	    g, a, limit, contacts_state(&g->contacts, hall, now), now);
	if (part.used >= part.max || reported_of(a, now) < limit)
		return part;
	return (struct use){limit, limit, wait_of(a, now)};
}

/* The peer has started anew: it knows nothing of what it was told. */
static void
forget_told(struct granter *g, const struct peer *p)
{
	struct link *link;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		link = link_to(value, p);
		if (link != NULL)
			link->told = false;
	}
}

static void
request_usage(struct granter *g, struct peer *p, int64_t now)
{
	struct msg_rate_usage m = {
	    .kind = RATE_USAGE_REQUEST, .started_ms = g->started_ms};

	if (p->sync == SYNC_NONE)
		p->sync = SYNC_REQUESTED;
	p->requested_at = now;
	g->ops->send_usage(g->ctx, str_c(p->inbox), &m);
}

void
granter_update_begin(struct granter *g)
{
	GHashTableIter it;
	gpointer value;

	contacts_list_begin(&g->contacts);
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct peer *)value)->is_listed = false;
	g_hash_table_iter_init(&it, g->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct account *)value)->is_current = false;
}

void
granter_update_hub(struct granter *g, struct str inbox, struct str hall,
    uint64_t started_ms, int64_t now)
{
	struct peer *p = peer_of(g, inbox);

	p->is_listed = true;
	p->hall = contacts_list_add(&g->contacts, hall, now);
	if (p->started_ms == started_ms)
		return;
	p->started_ms = started_ms;
	p->is_silent = false;
	p->pinged_at = 0;
	p->avoid_until = 0;
	p->sync = SYNC_NONE;
	forget_told(g, p);
}

/* Sets the links to the other gates of the ranking; kept ones are unchanged. */
static void
set_links(
    struct granter *g, struct account *a, const struct str *ranks, unsigned n)
{
	struct link old[GRANTER_RANKS - 1];
	struct peer *p;
	size_t used = 0, i, j;

	memcpy(old, a->links, sizeof(old));
	memset(a->links, 0, sizeof(a->links));
	for (i = 0; i < n && used < G_N_ELEMENTS(a->links); i++) {
		if (is_self(g, ranks[i]))
			continue;
		p = peer_of(g, ranks[i]);
		a->links[used].peer = p;
		for (j = 0; j < G_N_ELEMENTS(old); j++)
			if (old[j].peer == p)
				a->links[used] = old[j];
		used++;
	}
}

/*
 * Returns whether this gate knows of usage over half of the limit, if there was
 * any: it grants, was told lately, or is one of those that the owner tells, or
 * was until all before it were gone.
 */
static bool
is_told(const struct account *a, int64_t now)
{
	if (a->grants ||
	    (a->informed_at != 0 && now - a->informed_at < INFORMED_NS))
		return true;
	if (a->n_ahead == 0)
		return a->was_told;
	return a->told_since != 0 && now - a->told_since >= INFORMED_NS;
}

/* The number of gates before this one in the ranking changes. */
static void
update_told(struct account *a, unsigned n_ahead, int64_t now)
{
	bool is_told_by_owner = n_ahead > 0 && n_ahead <= GRANTER_TOLD;

	if (n_ahead == 0 && a->n_ahead > 0)
		a->was_told = is_told(a, now);
	if (!is_told_by_owner)
		a->told_since = 0;
	else if (a->told_since == 0)
		a->told_since = now;
}

void
granter_update_customer(struct granter *g, struct str name, int64_t now)
{
	struct account *a = find(g->accounts, name);
	struct str ranks[GRANTER_RANKS];
	unsigned i, n = g->ops->rank(g->ctx, name, ranks);
	bool is_new;

	for (i = 0; i < n && !is_self(g, ranks[i]); i++)
		;
	if (i == n)
		return;
	if (a == NULL) {
		a = g_new0(struct account, 1);
		a->name = copy_of(name);
		a->entered_at = now;
		a->entries = g_ptr_array_new_with_free_func(entry_free);
		a->by_hall = g_ptr_array_new_with_free_func(g_free);
		a->carried = g_ptr_array_new_with_free_func(carried_free);
		entry_of(g, a, g->inbox, g->started_ms, now);
		g_hash_table_insert(g->accounts, a->name, a);
	}
	is_new = a->entered_at == now;
	a->is_current = true;
	update_told(a, i, now);
	a->n_ahead = i;
	while (i-- > 0)
		a->ahead[i] = peer_of(g, ranks[i]);
	set_links(g, a, ranks, n);
	for (i = 0; is_new && i < G_N_ELEMENTS(a->links); i++)
		if (a->links[i].peer != NULL)
			a->links[i].peer->sync = SYNC_NONE;
	/* Gates that are new in the ranking are to be told. */
	if (g->window > 0 && a->grants)
		mark_changed(g, a, now);
}

static void
add_totals(struct account *a, GArray *records)
{
	const struct entry *own = own_entry(a);
	struct msg_rate_record r = {.customer = str_c(a->name),
	    .granted = own->granted,
	    .returned = own->returned};

	g_array_append_val(records, r);
}

/* Adds all that is known of a customer's usage. */
static void
add_windows(struct account *a, GArray *records, int64_t now)
{
	struct msg_rate_record r;
	char counts[ALLOWANCE_PACKED_MAX];
	struct entry *e;
	guint i;

	for (i = 0; i < a->entries->len; i++) {
		e = g_ptr_array_index(a->entries, i);
		r = (struct msg_rate_record){.customer = str_c(a->name),
		    .granter = str_c(e->inbox),
		    .started_ms = e->started_ms,
		    .granted = e->granted,
		    .returned = e->returned};
		r.counts = str_dup(
		    str_n(counts, allowance_pack(&e->allowance, now, counts)));
		g_array_append_val(records, r);
	}
}

static void
mark_told(struct account *a, struct link *link, int64_t now)
{
	const struct entry *own = own_entry(a);

	a->unreported = 0;
	link->told = true;
	link->told_granted = own->granted;
	link->told_returned = own->returned;
	link->told_at = now;
}

static void
clear_record(void *p)
{
	str_free(&((struct msg_rate_record *)p)->counts);
}

static GArray *
records_new(void)
{
	GArray *records =
	    g_array_new(FALSE, FALSE, sizeof(struct msg_rate_record));

	g_array_set_clear_func(records, clear_record);
	return records;
}

static void
send_records(struct granter *g, struct str to, GArray *records)
{
	struct msg_rate_usage m = {
	    .kind = RATE_USAGE_REPORT, .started_ms = g->started_ms};

	if (records->len == 0)
		return;
	m.records.items = records->data;
	m.records.n = records->len;
	g->ops->send_usage(g->ctx, to, &m);
	g_array_set_size(records, 0);
}

/*
 * Reports a customer's usage to one gate if that is due.  The first report to a
 * gate has the windows of all gates and is sent when over half of the limit is
 * used; later ones have the totals of this gate only.  Returns whether more is
 * to be reported.
 */
static bool
report(struct granter *g, struct account *a, struct link *link, GArray *records,
    int64_t now)
{
	uint32_t limit = limit_of(g, str_c(a->name)), used = used_of(a, now);
	const struct entry *own = own_entry(a);
	uint64_t untold;

	if (limit <= SMALL_LIMIT)
		return false;
	if (link->told && used < limit / 5 * 2)
		link->told = false;
	if (!link->told && used <= limit / 2)
		return false;
	if (!link->told) {
		add_windows(a, records, now);
		mark_told(a, link, now);
		return false;
	}
	untold = own->granted - link->told_granted + own->returned -
	    link->told_returned;
	if (untold == 0)
		return false;
	if (untold <= limit / REPORT_STEP &&
	    now - link->told_at < REPORT_MAX_NS)
		return true;
	add_totals(a, records);
	mark_told(a, link, now);
	return false;
}

/* Returns whether a gate is one of those that are told of each grant. */
static bool
is_told_first(const struct account *a, const struct link *link)
{
	unsigned answering = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(a->links) && answering < GRANTER_TOLD;
	     i++) {
		if (&a->links[i] == link)
			return true;
		answering +=
		    a->links[i].peer != NULL && !a->links[i].peer->is_silent;
	}
	return false;
}

static void ping(struct granter *, struct peer *, int64_t);

static void
report_to(struct granter *g, struct peer *p, GPtrArray *accounts,
    GHashTable *unfinished, int64_t now)
{
	GArray *records = records_new();
	struct account *a;
	struct link *link;
	guint i;

	for (i = 0; i < accounts->len; i++) {
		a = g_ptr_array_index(accounts, i);
		link = link_to(a, p);
		if (link == NULL || !is_told_first(a, link))
			continue;
		if (now - p->heard_at >= REPORT_MAX_NS)
			ping(g, p, now);
		if (report(g, a, link, records, now))
			g_hash_table_add(unfinished, a);
		if (records->len >= RECORDS_MAX)
			send_records(g, str_c(p->inbox), records);
	}
	send_records(g, str_c(p->inbox), records);
	g_array_free(records, TRUE);
}

static void
report_changed(struct granter *g, int64_t now)
{
	GPtrArray *accounts = g->changed;
	GHashTable *unfinished;
	GHashTableIter it;
	gpointer value;

	if (accounts->len == 0 || now - g->reported_at < REPORT_NS)
		return;
	g->reported_at = now;
	unfinished = g_hash_table_new(NULL, NULL);
	g->changed = g_ptr_array_new();
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		report_to(g, value, accounts, unfinished, now);
	while (accounts->len > 0) {
		value =
		    g_ptr_array_remove_index_fast(accounts, accounts->len - 1);
		((struct account *)value)->is_changed =
		    g_hash_table_contains(unfinished, value);
		if (((struct account *)value)->is_changed)
			g_ptr_array_add(g->changed, value);
	}
	g_ptr_array_free(accounts, TRUE);
	g_hash_table_destroy(unfinished);
}

/* The next report is due REPORT_NS after the last one. */
static void
mark_changed(struct granter *g, struct account *a, int64_t now)
{
	if (a->is_changed)
		return;
	a->is_changed = true;
	g_ptr_array_add(g->changed, a);
	g->ops->wake(g->ctx, MAX(g->reported_at + REPORT_NS, now));
}

/* Tells the other gates of a ranking that this gate has left the usage. */
static void
report_last(struct granter *g, struct account *a, int64_t now)
{
	GArray *records = records_new();
	struct str ranks[GRANTER_RANKS];
	unsigned n = g->ops->rank(g->ctx, str_c(a->name), ranks);

	if (n > 0 && !is_self(g, ranks[0]) &&
	    used_of(a, now) > limit_of(g, str_c(a->name)) / 2) {
		add_windows(a, records, now);
		send_records(g, ranks[0], records);
	}
	g_array_free(records, TRUE);
}

static void
give_up(struct granter *g, struct account *a, struct str to, int64_t now)
{
	if (!a->grants)
		return;
	a->grants = false;
	a->informed_at = now;
	g->ops->given_up(g->ctx, str_c(a->name), to);
}

static void
remove_accounts(struct granter *g, int64_t now)
{
	struct str ranks[GRANTER_RANKS];
	struct account *a;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		if (a->is_current)
			continue;
		if (g->window > 0 && a->grants)
			report_last(g, a, now);
		if (g->ops->rank(g->ctx, str_c(a->name), ranks) > 0)
			give_up(g, a, ranks[0], now);
		g_ptr_array_remove(g->changed, a);
		g_hash_table_iter_remove(&it);
	}
}

static void
remove_peers(struct granter *g)
{
	struct account *a;
	struct peer *p;
	GHashTableIter it, accounts;
	gpointer value;
	size_t i;

	g_hash_table_iter_init(&accounts, g->accounts);
	while (g_hash_table_iter_next(&accounts, NULL, &value)) {
		a = value;
		for (i = 0; i < G_N_ELEMENTS(a->links); i++)
			if (a->links[i].peer != NULL &&
			    !a->links[i].peer->is_listed)
				memset(&a->links[i], 0, sizeof(a->links[i]));
	}
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		p = value;
		if (!p->is_listed)
			g_hash_table_iter_remove(&it);
	}
}

/* Returns whether another gate of the ranking said that it is informed. */
static bool
has_informed_peer(const struct account *a)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(a->links); i++)
		if (a->links[i].peer != NULL &&
		    a->links[i].peer->sync == SYNC_DONE &&
		    a->links[i].peer->is_informed)
			return true;
	return false;
}

/*
 * Counts what others may have granted.  Whoever grants reports usage over half
 * of the limit, so half of it is used at most where there was no report.
 */
static uint32_t
presume(struct granter *g, struct account *a, uint32_t limit, bool informed,
    int64_t now)
{
	uint32_t used = used_of(a, now), missing,
		 unused = informed ? limit - limit / 2
				   : limit / UNKNOWN_PART + UNKNOWN_MIN;
	struct entry *e;

	if (limit <= SMALL_LIMIT || unused >= limit || used >= limit - unused)
		return used;
	missing = limit - unused - used;
	e = entry_of(g, a, PRESUMED, 0, now);
	if (informed)
		allowance_add(&e->allowance, missing, now);
	else
		allowance_add_spread(&e->allowance, missing, now);
	return used + missing;
}

static void
take_over(struct granter *g, struct account *a, int64_t now)
{
	uint32_t limit = limit_of(g, str_c(a->name)), used = 0;
	bool informed = is_told(a, now) || has_informed_peer(a);

	a->grants = true;
	if (g->window == 0) {
		a->bucket = (struct bucket){1, now};
	} else {
		used = presume(g, a, limit, informed, now);
		mark_changed(g, a, now);
	}
	g->ops->taken_over(g->ctx, str_c(a->name),
	    informed ? GRANTER_REPORTED : GRANTER_UNKNOWN, used, limit);
}

/*
 * Returns whether this gate knows what others granted, or cannot learn it.  If
 * not, *better is set to the next gate in the ranking if that does not list
 * this one as a hub yet, and so grants requests itself; NULL if it does.
 */
static bool
is_synced(
    struct granter *g, struct account *a, struct peer **better, int64_t now)
{
	bool synced = true, is_next = true;
	struct peer *p;
	size_t i;

	*better = NULL;
	if (g->window == 0 || now - a->entered_at >= INFORMED_NS)
		return true;
	for (i = 0; i < G_N_ELEMENTS(a->links); i++) {
		p = a->links[i].peer;
		if (p == NULL || p->is_silent)
			continue;
		if (p->sync == SYNC_NONE ||
		    (p->sync == SYNC_UNLISTED &&
			now - p->requested_at >= REQUEST_AGAIN_NS))
			request_usage(g, p, now);
		if (p->sync == SYNC_UNLISTED && is_next)
			*better = p;
		if (p->sync == SYNC_REQUESTED &&
		    now - p->requested_at < REPLY_WAIT_NS)
			synced = false;
		is_next = false;
	}
	return synced && *better == NULL;
}

/*
 * Returns the first gate before this one in the ranking that answers as far as
 * is known; NULL if there is none, so that this gate grants.
 */
static struct peer *
peer_ahead(const struct account *a, int64_t now)
{
	unsigned i;

	for (i = 0; i < a->n_ahead; i++)
		if (!a->ahead[i]->is_silent &&
		    now >= a->ahead[i]->declined_until)
			return a->ahead[i];
	return NULL;
}

/*
 * Takes over or gives up a customer, as far as that can be decided now.  A gate
 * that is not the first in the ranking takes over when it is queried.  Returns
 * whether this gate waits for what others know.
 */
static bool
settle(struct granter *g, struct account *a, int64_t now)
{
	struct peer *better, *ahead = peer_ahead(a, now);

	if (ahead != NULL)
		give_up(g, a, str_c(ahead->inbox), now);
	if (a->n_ahead > 0 || a->grants)
		return false;
	if (!is_synced(g, a, &better, now))
		return true;
	take_over(g, a, now);
	return false;
}

static void
settle_all(struct granter *g, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g->unsettled = false;
	g_hash_table_iter_init(&it, g->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (settle(g, value, now))
			g->unsettled = true;
	if (g->unsettled)
		g->ops->wake(g->ctx, now + HOLD_POLL_NS);
}

/*
 * Requests usage from hubs that are new, and from those of the customers in
 * whose ranking this gate is new.
 */
static void
request_from_new(struct granter *g, int64_t now)
{
	struct peer *p;
	GHashTableIter it;
	gpointer value;

	if (g->window == 0 || g_hash_table_size(g->accounts) == 0)
		return;
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		p = value;
		if (p->sync == SYNC_NONE)
			request_usage(g, p, now);
	}
	g->ops->wake(g->ctx, now + REPLY_WAIT_NS);
}

void
granter_update_end(struct granter *g, int64_t now)
{
	if (g->opened_at == 0)
		g->opened_at = now;
	contacts_list_end(&g->contacts, now);
	receipts_expire(g->receipts, now);
	remove_accounts(g, now);
	remove_peers(g);
	request_from_new(g, now);
	settle_all(g, now);
}

struct str
granter_target(
    struct granter *g, struct str customer, bool *is_retry, int64_t now)
{
	struct str ranks[GRANTER_RANKS];
	unsigned i, n = g->ops->rank(g->ctx, customer, ranks);

	for (i = 0; i < n; i++) {
		*is_retry = i > 0;
		if (is_self(g, ranks[i]) ||
		    now >= peer_of(g, ranks[i])->avoid_until)
			return ranks[i];
	}
	*is_retry = false;
	return n > 0 ? ranks[0] : g->inbox;
}

void
granter_fill_query(struct granter *g, struct str target,
    struct msg_rate_query *q, char counts[ALLOWANCE_PACKED_MAX], int64_t now)
{
	q->hall = g->contacts.own->name;
	q->counts = str_n(counts,
	    receipts_pack(g->receipts, q->customer, target, now, counts));
}

void
granter_received(struct granter *g, struct str from, struct str customer,
    const struct msg_rate_grant *m, int64_t now)
{
	receipts_heard(g->receipts, from, m->started_ms);
	if (m->granted && limit_of(g, customer) > SMALL_LIMIT)
		receipts_add(g->receipts, customer, from, now);
}

void
granter_not_used(
    struct granter *g, struct str from, struct str customer, int64_t now)
{
	receipts_give_back(g->receipts, customer, from, now);
}

void
granter_query_lost(struct granter *g, struct str inbox, int64_t now)
{
	if (!is_self(g, inbox))
		peer_of(g, inbox)->avoid_until = now + AVOID_NS;
}

static void
reply(struct granter *g, struct str from, const struct msg_rate_query *q,
    bool granted, int64_t wait)
{
	struct msg_rate_grant m = {.seq = q->seq,
	    .started_ms = g->started_ms,
	    .granted = granted,
	    .wait_us = (uint64_t)(wait / NS_US)};

	g->ops->send_grant(
	    g->ctx, q->requester.n > 0 ? q->requester : from, &m);
}

/*
 * Returns whether another gate of the ranking would lack too many grants if
 * this gate failed now.
 */
static bool
is_ahead_of_reports(const struct account *a, uint32_t limit)
{
	return a->links[0].peer != NULL &&
	    a->unreported >= limit / UNREPORTED_PART + UNREPORTED_MIN;
}

/* Grants a request of a box of the hall, which may be NULL, by the window. */
static bool
grant_by_window(struct granter *g, struct account *a,
    const struct contact_hall *hall, int64_t now, int64_t *wait)
{
	uint32_t limit = limit_of(g, str_c(a->name)), used;
	struct entry *own = own_entry(a);
	struct use use = use_of(g, a, hall, limit, now);

	mark_changed(g, a, now);
	if (use.used >= use.max) {
		*wait = use.wait;
		return false;
	}
	used = used_of(a, now);
	/* Others presume as much, so nothing is reported and nothing is due. */
	if (used <= limit / 2 || limit <= SMALL_LIMIT)
		a->unreported = 0;
	if (is_ahead_of_reports(a, limit)) {
		*wait = MAX(g->reported_at + REPORT_NS - now, NS_MS);
		return false;
	}
	own->granted++;
	allowance_add(&own->allowance, 1, now);
	if (limit > SMALL_LIMIT)
		allowance_add(granted_to(g, a, hall, now), 1, now);
	/* Where there was no report, others presume that half is used. */
	if (limit > SMALL_LIMIT && used >= limit / 2)
		a->unreported++;
	return true;
}

static void
grant(struct granter *g, struct account *a, struct str from,
    const struct msg_rate_query *q, int64_t now)
{
	double rate, burst;
	int64_t wait = 0;
	bool granted;

	/* The configuration may have changed while the query was held. */
	if (!g->ops->terms(g->ctx, q->customer, &rate, &burst)) {
		reply(g, from, q, false, GRANTER_RETRY_AFTER_NS);
		return;
	}
	if (rate <= 0) {
		reply(g, from, q, true, 0);
		return;
	}
	if (!a->grants)
		take_over(g, a, now);
	if (g->window > 0)
		granted = grant_by_window(
		    g, a, contacts_get(&g->contacts, q->hall, now), now, &wait);
	else
		granted = bucket_reserve(&a->bucket, rate, MAX(burst, 1),
		    GRANTER_WAIT_MAX_NS, now, &wait);
	reply(g, from, q, granted, wait);
}

static void
ping(struct granter *g, struct peer *p, int64_t now)
{
	if (now - p->heard_at < HEARD_NS)
		return;
	if (p->pinged_at != 0 &&
	    (!p->is_silent || now - p->pinged_at < PING_WAIT_NS))
		return;
	p->pinged_at = now;
	g->ops->ping(g->ctx, str_c(p->inbox));
	g->ops->wake(g->ctx, now + PING_WAIT_NS);
}

static void
forward(struct granter *g, struct str from, const struct msg_rate_query *q,
    struct str to, bool last)
{
	struct msg_rate_query copy = *q;

	if (copy.requester.n == 0)
		copy.requester = from;
	copy.is_retry = copy.is_retry || last;
	/* They may contain what the next gate granted itself. */
	copy.counts = str_c(NULL);
	g->ops->send_query(g->ctx, to, &copy);
}

static void
hold(struct granter *g, struct str from, const struct msg_rate_query *q,
    int64_t since, int64_t now)
{
	struct held *h;

	if (g->held.length >= HELD_MAX || now - since >= HOLD_MAX_NS) {
		reply(g, from, q, false, GRANTER_RETRY_AFTER_NS);
		return;
	}
	h = g_new0(struct held, 1);
	h->query = *q;
	h->query.customer = str_dup(q->customer);
	h->query.requester = str_dup(q->requester);
	h->query.hall = str_dup(q->hall);
	h->query.counts = str_c(NULL); /* read when it arrived */
	h->from = str_dup(from);
	h->since = since;
	g_queue_push_tail(&g->held, h);
	g->ops->wake(g->ctx, now + HOLD_POLL_NS);
}

/*
 * Another gate of the ranking answers as far as is known, so it grants the
 * request.  If the requester had no reply from it, it is pinged first.
 */
static void
leave_to(struct granter *g, struct str from, const struct msg_rate_query *q,
    struct str to, int64_t since, int64_t now)
{
	struct peer *p = peer_of(g, to);
	struct account *a = find(g->accounts, q->customer);

	if (q->is_retry && q->requester.n > 0) {
		/* It was forwarded twice: the gates disagree for now. */
		reply(g, from, q, false, GRANTER_RETRY_AFTER_NS);
		return;
	}
	if (a != NULL)
		give_up(g, a, to, now);
	ping(g, p, now);
	if (q->is_retry && now - p->heard_at >= HEARD_NS)
		hold(g, from, q, since, now);
	else
		forward(g, from, q, to, q->requester.n > 0);
}

/* This gate is not in the ranking: forwards the query to a gate that is. */
static void
decide_outside(struct granter *g, struct str from,
    const struct msg_rate_query *q, int64_t since, int64_t now)
{
	struct str ranks[GRANTER_RANKS];
	unsigned i, n = g->ops->rank(g->ctx, q->customer, ranks);

	for (i = 0; i < n; i++)
		if (!is_self(g, ranks[i]) && !peer_of(g, ranks[i])->is_silent) {
			leave_to(g, from, q, ranks[i], since, now);
			return;
		}
	reply(g, from, q, false, GRANTER_RETRY_AFTER_NS);
}

/*
 * Pings the hubs of halls of which nothing was heard lately, and a leaf, which
 * may be there while the hubs start anew.
 */
static void
ping_halls(struct granter *g, int64_t now)
{
	struct contact_hall *h;
	struct peer *p;
	GHashTableIter it;
	gpointer value;
	guint i;

	if (!contacts_are_ping_due(&g->contacts, now))
		return;
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		p = value;
		if (p->is_listed && p->hall != NULL &&
		    contact_is_ping_due(p->hall, now))
			g->ops->ping(g->ctx, str_c(p->inbox));
	}
	for (i = 0; i < g->contacts.halls->len; i++) {
		h = g_ptr_array_index(g->contacts.halls, i);
		if (h == g->contacts.own || !contact_is_ping_due(h, now))
			continue;
		if (h->leaf.n > 0)
			g->ops->ping(g->ctx, h->leaf);
		contact_pinged(h, now);
	}
	g->ops->wake(g->ctx, now + CONTACT_ANSWER_NS);
}

static void
note_share(struct granter *g, int64_t now)
{
	unsigned joined = contacts_count(&g->contacts, CONTACT_JOINED, now),
		 all = contacts_count_all(&g->contacts, now);

	if ((joined == g->told_joined && all == g->told_all) ||
	    contacts_are_awaited(&g->contacts, now))
		return;
	g->told_joined = joined;
	g->told_all = all;
	g->ops->share_changed(g->ctx, joined, all);
}

/*
 * Which halls are in touch matters to a customer that has used half of what one
 * hall may use.  Returns whether the answer decides about the next request, and
 * a ping may still be answered.
 */
static bool
awaits_halls(struct granter *g, struct account *a, int64_t now)
{
	uint32_t limit = limit_of(g, str_c(a->name));
	unsigned all = contacts_count_all(&g->contacts, now);
	struct use use;

	if (g->window == 0 || all <= 1 || limit <= SMALL_LIMIT)
		return false;
	use = use_of_part(g, a, limit, CONTACT_JOINED, now);
	if (use.used * all * 2 < limit)
		return false;
	ping_halls(g, now);
	note_share(g, now);
	return use.used >= use.max && use.max < limit &&
	    contacts_are_awaited(&g->contacts, now);
}

static void
decide(struct granter *g, struct str from, const struct msg_rate_query *q,
    int64_t since, int64_t now)
{
	struct account *a = find(g->accounts, q->customer);
	struct peer *better = NULL, *ahead;
	unsigned i;

	if (a == NULL) {
		decide_outside(g, from, q, since, now);
		return;
	}
	ahead = peer_ahead(a, now);
	for (i = 0; i < a->n_ahead && a->ahead[i] != ahead; i++)
		ping(g, a->ahead[i], now);
	if (ahead != NULL) {
		leave_to(g, from, q, str_c(ahead->inbox), since, now);
	} else if (a->grants || is_synced(g, a, &better, now)) {
		if (awaits_halls(g, a, now))
			hold(g, from, q, since, now);
		else
			grant(g, a, from, q, now);
	} else if (better != NULL && !(q->is_retry && q->requester.n > 0)) {
		ping(g, better, now);
		forward(g, from, q, str_c(better->inbox), q->requester.n > 0);
	} else {
		hold(g, from, q, since, now);
	}
}

/*
 * A gate that forwards a query does not grant it itself, and knows this gate as
 * a hub by now.
 */
static void
note_declined(struct granter *g, struct str from,
    const struct msg_rate_query *q, int64_t now)
{
	struct account *a = find(g->accounts, q->customer);
	struct peer *p = find(g->peers, from);
	unsigned i;

	if (p != NULL && q->requester.n > 0 && p->sync == SYNC_UNLISTED)
		p->sync = SYNC_NONE;
	if (a == NULL || q->requester.n == 0)
		return;
	for (i = 0; i < a->n_ahead; i++)
		if (a->ahead[i] == p)
			p->declined_until = now + DECLINED_NS;
}

/* A query shows that a hall is in touch, and what its box was granted. */
static void
note_box(struct granter *g, struct str from, const struct msg_rate_query *q,
    int64_t now)
{
	struct contact_hall *hall = contacts_get(&g->contacts, q->hall, now);
	struct account *a = find(g->accounts, q->customer);
	struct str box = q->requester.n > 0 ? q->requester : from;
	struct carried *c;

	contact_heard(hall, now);
	if (hall != NULL && find(g->peers, box) == NULL)
		contact_set_leaf(hall, box);
	if (g->window == 0 || a == NULL || q->counts.n == 0)
		return;
	c = carried_of(g, a, box, now);
	if (c != NULL && allowance_unpack(&c->got, q->counts, now))
		c->hall = hall;
}

void
granter_query(struct granter *g, struct str from,
    const struct msg_rate_query *q, int64_t now)
{
	double rate, burst;

	note_box(g, from, q, now);

	if (!g->ops->terms(g->ctx, q->customer, &rate, &burst)) {
		reply(g, from, q, false, GRANTER_RETRY_AFTER_NS);
	} else if (rate <= 0) {
		reply(g, from, q, true, 0);
	} else {
		note_declined(g, from, q, now);
		decide(g, from, q, now, now);
	}
}

/* Decides again about the queries that are held. */
static void
decide_held(struct granter *g, int64_t now)
{
	struct held *h;
	guint n = g->held.length;

	for (; n > 0; n--) {
		h = g_queue_pop_head(&g->held);
		decide(g, h->from, &h->query, h->since, now);
		held_free(h);
	}
}

void
granter_heard(struct granter *g, struct str from, int64_t now)
{
	struct peer *p = find(g->peers, from);
	bool was_silent;

	contact_heard(
	    p != NULL ? p->hall : contacts_of_leaf(&g->contacts, from), now);
	if (p == NULL)
		return;
	was_silent = p->is_silent;
	p->heard_at = now;
	p->pinged_at = 0;
	p->avoid_until = 0;
	p->is_silent = false;
	if (was_silent)
		settle_all(g, now);
	decide_held(g, now);
}

/*
 * Returns whether this gate was told of the usage of all customers in whose
 * rankings the other gate is, of which it knows one at least.
 */
static bool
all_informed(struct granter *g, const struct peer *p, int64_t now)
{
	struct account *a;
	GHashTableIter it;
	gpointer value;
	bool is_any = false;

	g_hash_table_iter_init(&it, g->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		if (link_to(a, p) == NULL)
			continue;
		if (!is_told(a, now))
			return false;
		is_any = true;
	}
	return is_any;
}

/*
 * Reports usage over half of the limit to a gate that requested it.  While the
 * gate is not listed, its place in the rankings is not known, and it gets all
 * there is.
 */
static void
report_requested(struct granter *g, struct peer *p, bool is_listed, int64_t now)
{
	GArray *records = records_new();
	struct account *a;
	struct link *link;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		link = link_to(a, p);
		if ((link == NULL && is_listed) ||
		    used_of(a, now) <= limit_of(g, str_c(a->name)) / 2)
			continue;
		add_windows(a, records, now);
		if (link != NULL)
			mark_told(a, link, now);
		if (records->len >= RECORDS_MAX)
			send_records(g, str_c(p->inbox), records);
	}
	send_records(g, str_c(p->inbox), records);
	g_array_free(records, TRUE);
}

static void
on_request(struct granter *g, struct peer *p, int64_t now)
{
	struct msg_rate_usage m = {.kind = RATE_USAGE_REPLY,
	    .started_ms = g->started_ms,
	    .is_listed = g->ops->is_listed(g->ctx, str_c(p->inbox))};

	p->declined_until = 0;
	forget_told(g, p);
	report_requested(g, p, m.is_listed, now);
	m.is_informed = all_informed(g, p, now);
	g->ops->send_usage(g->ctx, str_c(p->inbox), &m);
	settle_all(g, now);
}

static void
on_reply(struct granter *g, struct peer *p, const struct msg_rate_usage *m,
    int64_t now)
{
	p->sync = m->is_listed ? SYNC_DONE : SYNC_UNLISTED;
	p->is_informed = m->is_informed;
	settle_all(g, now);
	decide_held(g, now);
}

/*
 * The owner knows what was granted; of what others presume, the highest is
 * taken.
 */
static void
merge_presumed(
    struct granter *g, struct account *a, struct str counts, int64_t now)
{
	struct allowance copy;
	struct entry *e;

	allowance_init(&copy, g->window, now);
	if ((a->grants && a->n_ahead == 0) ||
	    !allowance_unpack(&copy, counts, now))
		return;
	e = entry_of(g, a, PRESUMED, 0, now);
	if (allowance_used(&copy, now) > allowance_used(&e->allowance, now))
		e->allowance = copy;
}

/*
 * The owner reports what it granted, so that nothing has to be presumed.  Its
 * own entry is the first one in its report.
 */
static void
drop_presumed(struct granter *g, struct account *a, const struct peer *p,
    struct str reporter, int64_t now)
{
	if (a->n_ahead == 0 || a->ahead[0] != p ||
	    !str_eq(str_c(p->inbox), reporter))
		return;
	allowance_init(
	    &entry_of(g, a, PRESUMED, 0, now)->allowance, g->window, now);
}

/* The entry with the higher totals is the newer one. */
static void
merge_window(struct granter *g, struct account *a,
    const struct msg_rate_record *r, int64_t now)
{
	struct entry *e = entry_of(g, a, r->granter, r->started_ms, now);

	if (e == own_entry(a) ||
	    r->granted + r->returned <= e->granted + e->returned ||
	    !allowance_unpack(&e->allowance, r->counts, now))
		return;
	e->granted = r->granted;
	e->returned = r->returned;
}

static void
merge_totals(struct entry *e, const struct msg_rate_record *r, int64_t now)
{
	if (r->granted < e->granted || r->returned < e->returned)
		return;
	allowance_add(&e->allowance,
	    (uint32_t)MIN(r->granted - e->granted, G_MAXINT32), now);
	allowance_give_back(&e->allowance,
	    (uint32_t)MIN(r->returned - e->returned, G_MAXINT32), now);
	e->granted = r->granted;
	e->returned = r->returned;
}

static void
on_record(struct granter *g, struct peer *p, uint64_t started_ms,
    const struct msg_rate_record *r, int64_t now)
{
	struct account *a = find(g->accounts, r->customer);
	struct entry *e;

	if (a == NULL)
		return;
	/* Entries of gates that have restarted since are dropped here. */
	if (a->entries->len >= ENTRIES_MAX)
		used_of(a, now);
	if (a->entries->len >= ENTRIES_MAX)
		return;
	if (r->counts.n > 0) {
		drop_presumed(g, a, p, r->granter, now);
		if (str_eq(r->granter, PRESUMED))
			merge_presumed(g, a, r->counts, now);
		else
			merge_window(g, a, r, now);
		a->informed_at = now;
		return;
	}
	e = entry_of(g, a, str_c(p->inbox), started_ms, now);
	if (e->granted > 0)
		merge_totals(e, r, now);
	else if (now - p->requested_at >= REQUEST_AGAIN_NS)
		request_usage(g, p, now);
}

static void
on_report(struct granter *g, struct peer *p, const struct msg_rate_usage *m,
    int64_t now)
{
	const struct msg_rate_record *r = m->records.items;
	size_t i;

	for (i = 0; i < m->records.n; i++)
		on_record(g, p, m->started_ms, &r[i], now);
}

static void
on_return(struct granter *g, const struct msg_rate_usage *m, int64_t now)
{
	const struct msg_rate_record *r = m->records.items;
	size_t i;

	for (i = 0; i < m->records.n; i++)
		granter_give_back(g, r[i].customer,
		    (int64_t)MIN(r[i].age_us, (uint64_t)(G_MAXINT32)) * NS_US,
		    now);
}

void
granter_usage(struct granter *g, struct str from,
    const struct msg_rate_usage *m, int64_t now)
{
	if (g->window == 0)
		return;
	switch (m->kind) {
	case RATE_USAGE_REPORT:
		on_report(g, peer_of(g, from), m, now);
		break;
	case RATE_USAGE_REQUEST:
		on_request(g, peer_of(g, from), now);
		break;
	case RATE_USAGE_REPLY:
		on_reply(g, peer_of(g, from), m, now);
		break;
	case RATE_USAGE_RETURN:
		on_return(g, m, now);
		break;
	default:
		break;
	}
	granter_heard(g, from, now);
}

/* A grant of before the start of this gate is in no entry of its own. */
void
granter_give_back(
    struct granter *g, struct str customer, int64_t age, int64_t now)
{
	struct account *a = find(g->accounts, customer);
	struct entry *own;

	if (a == NULL || g->window == 0 || age >= g->window ||
	    now - age < a->entered_at)
		return;
	own = own_entry(a);
	if (allowance_used(&own->allowance, now) == 0)
		return;
	allowance_give_back(&own->allowance, 1, now);
	own->returned++;
	mark_changed(g, a, now);
}

static void
check_pings(struct granter *g, int64_t now)
{
	bool found = false;
	struct peer *p;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		p = value;
		if (p->is_silent || p->pinged_at == 0 ||
		    now - p->pinged_at < PING_WAIT_NS)
			continue;
		p->is_silent = true;
		found = true;
	}
	if (found)
		settle_all(g, now);
}

void
granter_tick(struct granter *g, int64_t now)
{
	check_pings(g, now);
	if (g->unsettled)
		settle_all(g, now);
	decide_held(g, now);
	report_changed(g, now);
	if (g->changed->len > 0)
		g->ops->wake(g->ctx, g->reported_at + REPORT_NS);
}

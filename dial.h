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
#ifndef DIAL_H
#define DIAL_H

#include <h2o.h>
#include <stdbool.h>

#include "str.h"

/*
 * A dialect: how callers and backend servers say what HTTP itself leaves
 * open.  The gate knows what is meant; the dialect knows the headers.
 */

/* How busy a backend server is. */
struct dial_load {
	int running; /* requests that it works on */
	int waiting; /* requests in its own queue */
	int slots;
	int latency_percent; /* percent of the usual time that work takes there
				now */
};

/* What a backend server says of itself with an answer. */
struct dial_report {
	bool has_load;
	struct dial_load load;
	int64_t slow_start_ms; /* it stays cold for so long; 0: it does not say
				  so */
	bool leaving; /* it leaves, and wants nothing new */
	int64_t
	    retry_after_ms; /* it wants nothing more from the box that asked */
	/* Requests a second that it takes from all boxes together; 0: any. */
	double rate_limit;
	bool malformed; /* it says something that cannot be read */
};

struct dialect {
	const char *name;
	/* Header names in lower case; an empty one is not used. */
	struct str request_id; /* names a request; backend servers repeat it */
	struct str deadline; /* milliseconds that are left */
	struct str instance; /* the backend server that is meant */
	struct str customer_key; /* of the customer; goes no further than the
				    first box */
	struct str customer; /* by name; never a caller's own word */
	struct str retried; /* "yes" on a request that was sent before */
	bool fractional_retry_after; /* Retry-After may be a fraction of a
					second */
	/*
	 * 408, 421, 429 and 503 promise by themselves that a request has not
	 * run, so that none of them may be used where it may have.
	 */
	bool status_means_not_run;
	/* One that says that it leaves does not take that back. */
	bool leaving_is_final;
	/* The backend server says that it did not run the request. */
	bool (*not_executed)(int status, const h2o_header_t *, size_t);
	/* It says that another backend server has its address now. */
	bool (*address_reassigned)(int status, const h2o_header_t *, size_t);
	/* What it says of itself. */
	void (*parse_report)(
	    int status, const h2o_header_t *, size_t, struct dial_report *);
};

/* Where a dialect has what a backend server says of itself. */
struct dial_report_headers {
	struct str load, slow_start, leaving, rate_limit, retry_after;
};

/* Fernjunction's own dialect, as ferncaller(7) describes it. */
extern const struct dialect fern_dialect;

/* The value of a header; an empty string if it is not there. */
struct str dial_find_header(const h2o_header_t *, size_t, struct str name);

/* A time in whole milliseconds; 0 where there is none, or it is malformed. */
int64_t dial_parse_ms(struct str);
enum { DIAL_MS_MAX = 24 * 3600 * 1000 };

/* Read "running,waiting,slots[,pace]"; false if it is malformed. */
bool dial_parse_load(struct str, struct dial_load *);

/* Decimal numbers are no longer than this. */
enum { DIAL_DECIMAL_MAX = 16 };

/*
 * Read requests a second, a plain decimal number; false if it is malformed.
 * Less than DIAL_RATE_MIN is read as that much: an answer has to tell of the
 * end.
 */
bool dial_parse_rate(struct str, double *);
#define DIAL_RATE_MIN 0.1

/*
 * Read seconds, a plain decimal number, as ms, DIAL_MS_MAX at most; false if it
 * is malformed.
 */
bool dial_parse_seconds(struct str, int64_t *ms);

/* Read all that the headers of an answer say. */
void dial_parse_report(const struct dial_report_headers *, int status,
    const h2o_header_t *, size_t, struct dial_report *);

#endif

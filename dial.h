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
 * Header dialects.  A dialect defines the headers and status codes by which
 * callers and backend servers exchange what HTTP itself does not define, such
 * as deadlines and load.
 */

/* The load of a backend server, as it reports it. */
struct dial_load {
	int running; /* requests in progress */
	int waiting; /* requests in its queue */
	int slots; /* requests that it can run at once */
	/* Current service time as a percentage of the usual one. */
	int latency_percent;
};

/* The state of a backend server, as it reports it in a response. */
struct dial_report {
	bool has_load; /* `load` is set */
	struct dial_load load;
	int64_t slow_start_ms; /* remaining time of its slow start; 0: none */
	bool leaving; /* it is shutting down and accepts no new requests */
	/* Time during which this box is to send it no requests; 0: none. */
	int64_t retry_after_ms;
	/* Requests per second accepted from all boxes together; 0: no limit. */
	double rate_limit;
	bool malformed; /* a header is malformed */
};

/* A dialect: the names of its headers, its rules and its parsers. */
struct dialect {
	const char *name;
	/* Header names in lower case; an empty one is not used. */
	struct str request_id; /* request id; backend servers return it */
	struct str deadline; /* time left for the request in ms */
	struct str instance; /* backend server that the request is for */
	/* API key of the customer; not sent beyond the first box. */
	struct str customer_key;
	/* Name of the customer; set by boxes, never copied from a caller. */
	struct str customer;
	struct str retried; /* "yes" on a request that was sent before */
	/* Retry-After may be sent as a fraction of a second. */
	bool fractional_retry_after;
	/*
	 * 408, 421, 429 and 503 alone mean that a request was not run, so none
	 * of them may be sent for a request that may have run.
	 */
	bool status_means_not_run;
	/* A backend server that reports leaving never withdraws it. */
	bool leaving_is_final;
	/* Returns whether the backend server did not run the request. */
	bool (*not_executed)(int status, const h2o_header_t *, size_t);
	/* Returns whether its address now belongs to another backend server. */
	bool (*address_reassigned)(int status, const h2o_header_t *, size_t);
	/* Parses the state that the backend server reports. */
	void (*parse_report)(
	    int status, const h2o_header_t *, size_t, struct dial_report *);
};

/* Names of the headers that report the state of a backend server. */
struct dial_report_headers {
	struct str load, slow_start, leaving, rate_limit, retry_after;
};

/* Fernjunction's own dialect, described in ferncaller(7). */
extern const struct dialect fern_dialect;

/* Returns the value of a header, or an empty string if it is absent. */
struct str dial_find_header(const h2o_header_t *, size_t, struct str name);

/*
 * Parses whole milliseconds.  Returns at most DIAL_MS_MAX, and 0 if the text is
 * empty or malformed.
 */
int64_t dial_parse_ms(struct str);
enum { DIAL_MS_MAX = 24 * 3600 * 1000 };

/*
 * Parses "running,waiting,slots[,percent]" as described at struct dial_load.
 * Returns false if the text is malformed.
 */
bool dial_parse_load(struct str, struct dial_load *);

/* Maximum number of characters of a decimal number. */
enum { DIAL_DECIMAL_MAX = 16 };

/*
 * Parses requests per second, a decimal number without sign or exponent.
 * Returns false if the text is malformed.  A rate below DIAL_RATE_MIN is raised
 * to it: only the response to a request can report the end of the limit.
 */
bool dial_parse_rate(struct str, double *);
#define DIAL_RATE_MIN 0.1

/*
 * Parses seconds, a decimal number without sign or exponent, to ms, at most
 * DIAL_MS_MAX.  Returns false if the text is malformed.
 */
bool dial_parse_seconds(struct str, int64_t *ms);

/* Parses the state that a backend server reports in a response's headers. */
void dial_parse_report(const struct dial_report_headers *, int status,
    const h2o_header_t *, size_t, struct dial_report *);

#endif

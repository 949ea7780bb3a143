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
#ifndef LIBSYNC_H
#define LIBSYNC_H

#include "sync.h"

/* For the files of sync only. */

/* sync_pack.c, which knows nothing of sync.c */
void sync_send(struct sync *, struct str to, const struct msg *);
void
sync_pack_add_deleted(struct sync_pack *, struct str key, uint64_t version);
json_t *sync_decode_spec(const struct msg_object *);

#endif

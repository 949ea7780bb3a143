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
#ifndef MEM_H
#define MEM_H

#include <stdint.h>

/*
 * Returns how much memory the system allows this process, in bytes: the least
 * of the machine's memory, the limit of its control group, RLIMIT_AS and
 * RLIMIT_DATA.  Returns INT64_MAX if the system tells none of them.
 */
int64_t mem_allowed(void);

#endif

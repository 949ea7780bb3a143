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
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <uv.h>

#include "mem.h"

static int64_t
least(int64_t a, uint64_t b)
{
	return b == 0 || b > INT64_MAX || (int64_t)b > a ? a : (int64_t)b;
}

static int64_t
apply_rlimit(int64_t allowed, int resource)
{
	struct rlimit limit;

	if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
		return allowed;
	return least(allowed, limit.rlim_cur);
}

/*
 * Returns the limit of the control group, version 2, in bytes; 0: none.
 * uv_get_constrained_memory() may know version 1 only.
 */
static uint64_t
control_group_limit(void)
{
	char line[512], path[600];
	unsigned long long limit = 0;
	bool found = false;
	FILE *f = fopen("/proc/self/cgroup", "re");

	if (f == NULL)
		return 0;
	while (!found && fgets(line, sizeof(line), f) != NULL)
		found = strncmp(line, "0::/", 4) == 0;
	fclose(f);
	if (!found)
		return 0;
	line[strcspn(line, "\n")] = '\0';
	snprintf(path, sizeof(path), "/sys/fs/cgroup%s/memory.max", line + 3);
	f = fopen(path, "re");
	if (f == NULL)
		return 0;
	/* "max" stands for no limit. */
	if (fscanf(f, "%llu", &limit) != 1)
		limit = 0;
	fclose(f);
	return limit;
}

int64_t
mem_allowed(void)
{
	int64_t allowed = INT64_MAX;

	allowed = least(allowed, uv_get_total_memory());
	allowed = least(allowed, uv_get_constrained_memory());
	allowed = least(allowed, control_group_limit());
	allowed = apply_rlimit(allowed, RLIMIT_AS);
	return apply_rlimit(allowed, RLIMIT_DATA);
}

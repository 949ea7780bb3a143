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
/*
 * The one C++ file: toml++ behind a C header, as Debian has no C library
 * for TOML.
 */
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>

/*
 * The parser checks itself by assertions, some of which malformed text can
 * reach; where it goes on, the text is refused all the same.
 */
static bool assertion_failed;

static inline bool
note_failure()
{
	assertion_failed = true;
	return true;
}

#define TOML_ASSERT(expr) static_cast<void>((expr) || note_failure())
#include <toml++/toml.h>

#include "doc.h"

extern "C" {
#include "err.h"
}

static json_t *convert(struct doc *, const toml::node &);

/* jansson shares its booleans, so a line belongs to a table and a key. */
static char *
line_key(const json_t *table, const char *key)
{
	return g_strdup_printf("%p/%s", static_cast<const void *>(table), key);
}

static void
note_line(struct doc *doc, const json_t *table, const char *key,
    const toml::node &node)
{
	g_hash_table_insert(doc->lines, line_key(table, key),
	    GINT_TO_POINTER(static_cast<int>(node.source().begin.line)));
}

static json_t *
convert_table(struct doc *doc, const toml::table &table)
{
	json_t *out = json_object();

	for (const auto &[key, node] : table) {
		std::string name(key.str());
		note_line(doc, out, name.c_str(), node);
		json_object_set_new(out, name.c_str(), convert(doc, node));
	}
	return out;
}

static json_t *
convert_array(struct doc *doc, const toml::array &array)
{
	json_t *out = json_array();

	for (const auto &node : array)
		json_array_append_new(out, convert(doc, node));
	return out;
}

static json_t *
convert_value(struct doc *doc, const toml::node &node)
{
	if (auto t = node.as_table())
		return convert_table(doc, *t);
	if (auto a = node.as_array())
		return convert_array(doc, *a);
	if (auto s = node.as_string())
		return json_stringn(s->get().data(), s->get().size());
	if (auto i = node.as_integer())
		return json_integer(i->get());
	if (auto f = node.as_floating_point())
		return json_real(f->get());
	if (auto b = node.as_boolean())
		return json_boolean(b->get());
	return json_string("(a date or time)");
}

static json_t *
convert(struct doc *doc, const toml::node &node)
{
	json_t *value = convert_value(doc, node);

	if (value == nullptr)
		value = json_string("");
	return value;
}

extern "C" struct doc *
doc_parse(const char *text, size_t n, const char *name, GError **err)
{
	struct doc *doc;

	try {
		assertion_failed = false;
		toml::table table = toml::parse(
		    std::string_view(text, n), std::string_view(name));
		if (assertion_failed)
			throw std::runtime_error("is malformed");
		doc = g_new0(struct doc, 1);
		doc->file = g_strdup(name);
		doc->lines = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, nullptr);
		doc->root = convert_table(doc, table);
		return doc;
	} catch (const toml::parse_error &e) {
		std::string why(e.description());
		err_set(err, ERR_SETTINGS, "%s:%d: %s", name,
		    static_cast<int>(e.source().begin.line), why.c_str());
		return nullptr;
	} catch (const std::exception &e) {
		err_set(err, ERR_SETTINGS, "%s: %s", name, e.what());
		return nullptr;
	}
}

extern "C" struct doc *
doc_load(const char *file, GError **err)
{
	std::ifstream in(file, std::ios::binary);
	std::ostringstream text;

	if (!in) {
		err_set(err, ERR_SETTINGS, "%s: cannot be read: %s", file,
		    g_strerror(errno));
		return nullptr;
	}
	text << in.rdbuf();
	std::string bytes = text.str();
	return doc_parse(bytes.data(), bytes.size(), file, err);
}

extern "C" void
doc_free(struct doc *doc)
{
	if (doc == nullptr)
		return;
	json_decref(doc->root);
	g_hash_table_destroy(doc->lines);
	g_free(doc->file);
	g_free(doc);
}

extern "C" int
doc_line(const struct doc *doc, const json_t *table, const char *key)
{
	char *name;
	int line;

	if (doc == nullptr)
		return 0;
	name = line_key(table, key);
	line = GPOINTER_TO_INT(g_hash_table_lookup(doc->lines, name));
	g_free(name);
	return line;
}

/**
 * @file stream_builds.c
 * Table of streams and the builds that began them.
 */
#include "state/stream_builds.h"
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */

static struct stream_builds_entry *find (const struct stream_builds *table,
                                         uint64_t key);
static void mark_changed (struct stream_builds *table,
                          struct stream_builds_entry *entry);
static void remove_entry (struct stream_builds *table,
                          struct stream_builds_entry *entry);
static struct stream_builds_row
told_row (const struct stream_builds_entry *entry, uint64_t now_ns);
static size_t add_markers (const struct stream_builds *table,
                           struct stream_builds_row *rows, size_t max,
                           uint64_t now_ns);
static bool is_marker (const struct stream_builds_entry *entry);
static bool is_for (const struct stream_builds_entry *entry,
                    const struct stream_builds_peer *peer);

void
stream_builds_init (struct stream_builds *table)
{
  memset (table, 0, sizeof *table);
}

void
stream_builds_finish (struct stream_builds *table)
{
  struct stream_builds_entry *entry = table->entries;
  struct stream_builds_entry *next;

  HASH_CLEAR (hh, table->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}

static struct stream_builds_entry *
find (const struct stream_builds *table, uint64_t key)
{
  struct stream_builds_entry *entry;

  HASH_FIND (hh, table->entries, &key, sizeof key, entry);
  return entry;
}

static bool
is_marker (const struct stream_builds_entry *entry)
{
  return entry->row.build == 0;
}

static void
mark_changed (struct stream_builds *table, struct stream_builds_entry *entry)
{
  entry->sequence = ++table->sequence;
  HASH_DEL (table->entries, entry);
  HASH_ADD (hh, table->entries, row.key, sizeof entry->row.key, entry);
}

static void
remove_entry (struct stream_builds *table, struct stream_builds_entry *entry)
{
  /* False positive: the analyzer assumes that the entry freed in one call is
     the head of the table in the next. */
  /* NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DEL (table->entries, entry);
  free (entry);
}

void
stream_builds_put (struct stream_builds *table,
                   const struct stream_builds_row *row,
                   enum stream_builds_source source, uint64_t source_id,
                   uint64_t now_ns)
{
  struct stream_builds_entry *entry = find (table, row->key);
  uint64_t expiry_ns = now_ns + row->ttl_ms * NS_PER_MS;

  if (entry != NULL && (is_marker (entry) != (row->build == 0)))
    return;
  if (entry != NULL && expiry_ns <= entry->expiry_ns + NS_PER_MS * 1000)
    return;
  if (entry == NULL)
    {
      if (HASH_COUNT (table->entries) >= STREAM_BUILDS_MAX)
        remove_entry (table, table->entries);
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return;
      entry->row = *row;
      entry->known_ns = now_ns;
      HASH_ADD (hh, table->entries, row.key, sizeof entry->row.key, entry);
    }
  entry->expiry_ns = expiry_ns;
  entry->source = source;
  entry->source_id = source_id;
  if (is_marker (entry) && expiry_ns > table->several_until_ns)
    table->several_until_ns = expiry_ns;
  mark_changed (table, entry);
}

uint64_t
stream_builds_find (const struct stream_builds *table, uint64_t key,
                    uint64_t now_ns)
{
  const struct stream_builds_entry *entry = find (table, key);

  return entry == NULL || entry->expiry_ns <= now_ns ? 0 : entry->row.build;
}

bool
stream_builds_several (const struct stream_builds *table, uint64_t service_id,
                       uint64_t now_ns)
{
  const struct stream_builds_entry *entry = find (table, service_id);

  return entry != NULL && is_marker (entry) && entry->expiry_ns > now_ns;
}

bool
stream_builds_any_several (const struct stream_builds *table, uint64_t now_ns)
{
  return table->several_until_ns > now_ns;
}

void
stream_builds_forget (struct stream_builds *table, uint64_t upstream_id,
                      uint64_t since_ns)
{
  struct stream_builds_entry *entry;
  struct stream_builds_entry *next;

  for (entry = table->entries; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      if (!is_marker (entry) && entry->row.upstream_id == upstream_id
          && entry->known_ns >= since_ns)
        remove_entry (table, entry);
    }
}

/* Hubs send each other only what began at them or their subscribers, so that
   each row reaches each hub once.  Subscribers get all rows but their own. */
static bool
is_for (const struct stream_builds_entry *entry,
        const struct stream_builds_peer *peer)
{
  if (entry->source_id == peer->instance_id)
    return false;
  return peer->everything || peer->subscriber
         || entry->source != STREAM_BUILDS_HUB;
}

static size_t
add_markers (const struct stream_builds *table, struct stream_builds_row *rows,
             size_t max, uint64_t now_ns)
{
  const struct stream_builds_entry *entry;
  size_t count = 0;

  for (entry = table->entries; entry != NULL && count < max;
       entry = entry->hh.next)
    if (is_marker (entry) && entry->expiry_ns > now_ns)
      rows[count++] = told_row (entry, now_ns);
  return count;
}

size_t
stream_builds_rows (const struct stream_builds *table,
                    const struct stream_builds_peer *peer, uint64_t *sequence,
                    struct stream_builds_row *rows, size_t max,
                    uint64_t now_ns)
{
  const struct stream_builds_entry *entry = table->entries;
  const struct stream_builds_entry *earlier;
  size_t count = 0;

  if (entry == NULL || *sequence >= table->sequence)
    return 0;
  /* A new peer has to know at once which services have several builds. */
  if (*sequence == 0)
    count = add_markers (table, rows, max, now_ns);
  /* Few have changed since. */
  entry = ELMT_FROM_HH (entry->hh.tbl, entry->hh.tbl->tail);
  for (earlier = entry; earlier != NULL && earlier->sequence > *sequence;
       earlier = earlier->hh.prev)
    entry = earlier;
  for (; entry != NULL && count < max; entry = entry->hh.next)
    {
      *sequence = entry->sequence;
      if (entry->expiry_ns > now_ns && is_for (entry, peer)
          && (is_marker (entry)
              || stream_builds_several (table, entry->row.service_id, now_ns)))
        rows[count++] = told_row (entry, now_ns);
    }
  return count;
}

static struct stream_builds_row
told_row (const struct stream_builds_entry *entry, uint64_t now_ns)
{
  struct stream_builds_row row = entry->row;

  row.ttl_ms = (uint32_t)((entry->expiry_ns - now_ns) / NS_PER_MS);
  return row;
}

void
stream_builds_touch (struct stream_builds *table, uint64_t service_id)
{
  struct stream_builds_entry *entry;
  struct stream_builds_entry *next;
  const uint64_t before = table->sequence;

  for (entry = table->entries; entry != NULL && entry->sequence <= before;
       entry = next)
    {
      next = entry->hh.next;
      if (!is_marker (entry) && entry->row.service_id == service_id)
        mark_changed (table, entry);
    }
}

void
stream_builds_expire (struct stream_builds *table, uint64_t now_ns)
{
  struct stream_builds_entry *entry;
  struct stream_builds_entry *next;

  for (entry = table->entries; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      if (entry->expiry_ns <= now_ns)
        remove_entry (table, entry);
    }
}

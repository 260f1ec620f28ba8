/**
 * @file registry.c
 * Table of announced upstreams.
 */
#include "state/registry.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */

static struct roster_upstream *find_by_identity (const struct roster *roster,
                                                 const char *identity);
static uint64_t incarnation_id (const struct roster_record *record);
static int add_upstream (struct roster *roster,
                         const struct roster_record *record);
static void remove_upstream (struct roster *roster,
                             struct roster_upstream *upstream);
static void mark_missing (struct roster *roster,
                          struct roster_upstream *upstream, uint64_t revision,
                          uint64_t grace_ns, uint64_t now_ns);
static bool is_stale (const struct roster *roster,
                      const struct roster_record *record);
static void put_tombstone (struct roster *roster, const char *identity,
                           uint64_t revision, uint64_t now_ns);
static void expire_tombstones (struct roster *roster, uint64_t now_ns);

void
roster_init (struct roster *roster)
{
  memset (roster, 0, sizeof (*roster));
}

void
roster_finish (struct roster *roster)
{
  struct roster_upstream *upstream = roster->upstreams;
  struct roster_upstream *next;

  HASH_CLEAR (hh_id, roster->by_id);
  HASH_CLEAR (hh, roster->upstreams);
  for (; upstream != NULL; upstream = next)
    {
      next = upstream->hh.next;
      free (upstream);
    }
  expire_tombstones (roster, UINT64_MAX);
}

static struct roster_upstream *
find_by_identity (const struct roster *roster, const char *identity)
{
  struct roster_upstream *upstream;

  HASH_FIND (hh, roster->upstreams, identity, strlen (identity), upstream);
  return upstream;
}

struct roster_upstream *
roster_find (const struct roster *roster, uint64_t id)
{
  struct roster_upstream *upstream;

  HASH_FIND (hh_id, roster->by_id, &id, sizeof (id), upstream);
  return upstream;
}

uint64_t
roster_ahead_tokens (const struct roster_upstream *upstream)
{
  return upstream->load.unread_tokens + upstream->load.peer_unread_tokens;
}

void
roster_want (struct roster_upstream *upstream, uint64_t tokens)
{
  upstream->load.wanted_tokens += tokens;
}

void
roster_unwant (struct roster_upstream *upstream, uint64_t tokens)
{
  upstream->load.wanted_tokens -= tokens < upstream->load.wanted_tokens
                                      ? tokens
                                      : upstream->load.wanted_tokens;
}

bool
roster_usable (const struct roster_upstream *upstream, uint64_t service_id)
{
  return upstream->record.service_id == service_id
         && !upstream->record.draining;
}

/* A restarted upstream is a new one under the same identity: nothing known of
   the previous incarnation applies to it. */
static uint64_t
incarnation_id (const struct roster_record *record)
{
  return XXH3_64bits_withSeed (record->identity, strlen (record->identity),
                               record->born_ms);
}

int
roster_put (struct roster *roster, const struct roster_record *record)
{
  struct roster_upstream *stored = find_by_identity (roster, record->identity);
  bool changed;

  if (stored == NULL)
    return is_stale (roster, record) ? ERR_STALE
                                     : add_upstream (roster, record);
  stored->listed = true;
  if (record->revision < stored->record.revision
      || (stored->missing_ns != 0
          && record->revision <= stored->missing_revision))
    return ERR_STALE;
  if (stored->id != incarnation_id (record)
      || stored->record.service_id != record->service_id
      || strcmp (stored->record.address, record->address) != 0)
    {
      remove_upstream (roster, stored);
      return add_upstream (roster, record);
    }
  changed
      = stored->record.draining != record->draining
        || stored->record.slots != record->slots
        || strcmp (stored->record.availability_zone, record->availability_zone)
               != 0;
  if (changed || stored->missing_ns != 0)
    roster->generation++;
  stored->record = *record;
  stored->missing_ns = 0;
  return changed ? ROSTER_CHANGED : 0;
}

static int
add_upstream (struct roster *roster, const struct roster_record *record)
{
  struct roster_upstream *upstream = calloc (1, sizeof (*upstream));

  if (upstream == NULL)
    return ERR_NO_MEMORY;
  upstream->record = *record;
  upstream->id = incarnation_id (record);
  upstream->listed = true;
  HASH_ADD (hh, roster->upstreams, record.identity[0],
            strlen (upstream->record.identity), upstream);
  HASH_ADD (hh_id, roster->by_id, id, sizeof (upstream->id), upstream);
  roster->generation++;
  return ROSTER_CHANGED;
}

static void
remove_upstream (struct roster *roster, struct roster_upstream *upstream)
{
  /* False positive: the analyzer assumes that the entry freed in one call is
     the head of the table in the next. */
  /* NOLINTBEGIN(clang-analyzer-unix.Malloc) */
  HASH_DELETE (hh, roster->upstreams, upstream);
  HASH_DELETE (hh_id, roster->by_id, upstream);
  /* NOLINTEND(clang-analyzer-unix.Malloc) */
  if (roster->removed != NULL)
    roster->removed (roster->user, upstream);
  free (upstream);
  roster->generation++;
}

void
roster_drop (struct roster *roster, const char *identity, uint64_t revision,
             uint64_t grace_ns, uint64_t now_ns)
{
  struct roster_upstream *upstream = find_by_identity (roster, identity);

  if (upstream == NULL)
    put_tombstone (roster, identity, revision, now_ns);
  else if (upstream->record.revision <= revision)
    mark_missing (roster, upstream, revision, grace_ns, now_ns);
}

static void
mark_missing (struct roster *roster, struct roster_upstream *upstream,
              uint64_t revision, uint64_t grace_ns, uint64_t now_ns)
{
  if (upstream->missing_ns == 0 || upstream->missing_revision < revision)
    upstream->missing_revision = revision;
  if (grace_ns == 0 || upstream->record.draining)
    {
      put_tombstone (roster, upstream->record.identity, revision, now_ns);
      remove_upstream (roster, upstream);
      return;
    }
  if (upstream->missing_ns != 0)
    return;
  upstream->missing_ns = now_ns;
  upstream->grace_ns = grace_ns;
}

void
roster_listing_begin (struct roster *roster)
{
  struct roster_upstream *upstream;

  for (upstream = roster->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    upstream->listed = false;
}

void
roster_listing_end (struct roster *roster, uint64_t revision,
                    uint64_t grace_ns, uint64_t now_ns)
{
  struct roster_upstream *upstream;
  struct roster_upstream *next;

  for (upstream = roster->upstreams; upstream != NULL; upstream = next)
    {
      next = upstream->hh.next;
      if (!upstream->listed && upstream->record.revision <= revision)
        mark_missing (roster, upstream, revision, grace_ns, now_ns);
    }
  if (revision > roster->listed_revision)
    roster->listed_revision = revision;
}

void
roster_age (struct roster *roster, uint64_t now_ns)
{
  struct roster_upstream *upstream;
  struct roster_upstream *next;

  for (upstream = roster->upstreams; upstream != NULL; upstream = next)
    {
      next = upstream->hh.next;
      if (upstream->missing_ns != 0
          && now_ns - upstream->missing_ns >= upstream->grace_ns)
        {
          put_tombstone (roster, upstream->record.identity,
                         upstream->missing_revision, now_ns);
          remove_upstream (roster, upstream);
        }
    }
  expire_tombstones (roster, now_ns);
}

/* Instances receive changes from several others, some of which lag behind.  A
   record older than the removal of the upstream, or than a listing without
   it, must not add it again. */
static bool
is_stale (const struct roster *roster, const struct roster_record *record)
{
  uint64_t identity
      = XXH3_64bits (record->identity, strlen (record->identity));
  const struct roster_tombstone *tombstone;

  HASH_FIND (hh, roster->tombstones, &identity, sizeof identity, tombstone);
  return (roster->listed_revision != 0
          && record->revision <= roster->listed_revision)
         || (tombstone != NULL && record->revision <= tombstone->revision);
}

static void
put_tombstone (struct roster *roster, const char *identity, uint64_t revision,
               uint64_t now_ns)
{
  uint64_t hash = XXH3_64bits (identity, strlen (identity));
  struct roster_tombstone *tombstone;

  HASH_FIND (hh, roster->tombstones, &hash, sizeof hash, tombstone);
  if (tombstone == NULL)
    {
      tombstone = calloc (1, sizeof *tombstone);
      /* Without memory for a tombstone, older records of all unknown upstreams
         are rejected; the next listing adds those that exist. */
      if (tombstone == NULL)
        {
          if (revision > roster->listed_revision)
            roster->listed_revision = revision;
          return;
        }
      tombstone->identity = hash;
      HASH_ADD (hh, roster->tombstones, identity, sizeof tombstone->identity,
                tombstone);
    }
  if (revision > tombstone->revision)
    tombstone->revision = revision;
  tombstone->removed_ns = now_ns;
}

static void
expire_tombstones (struct roster *roster, uint64_t now_ns)
{
  struct roster_tombstone *tombstone;
  struct roster_tombstone *next;

  for (tombstone = roster->tombstones; tombstone != NULL; tombstone = next)
    {
      next = tombstone->hh.next;
      if (now_ns - tombstone->removed_ns < ROSTER_TOMBSTONE_MS * NS_PER_MS)
        continue;
      /* False positive: the analyzer assumes that an entry freed before is
         the head of the table. */
      /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
      HASH_DELETE (hh, roster->tombstones, tombstone);
      free (tombstone);
    }
}

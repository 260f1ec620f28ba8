/**
 * @file registry.c
 * Table of registered upstreams.
 */
#include "state/registry.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */

static struct registry_upstream *
find_by_identity (const struct registry *registry, const char *identity);
static uint64_t incarnation_id (const struct registry_record *record);
static uint64_t build_hash (const struct registry_record *record);
static bool is_after (const struct store_position *position,
                      const struct store_position *other);
static void raise_to (struct store_position *greatest,
                      const struct store_position *position);
static bool is_first_of_era (struct store_position *copy,
                             const struct store_position *known,
                             const struct store_position *position);
static struct registry_tombstone *
find_tombstone (const struct registry *registry, const char *identity);
static int add_upstream (struct registry *registry,
                         const struct registry_record *record);
static void remove_upstream (struct registry *registry,
                             struct registry_upstream *upstream);
static void mark_missing (struct registry *registry,
                          struct registry_upstream *upstream,
                          const struct store_position *position,
                          uint64_t grace_ns, uint64_t now_ns);
static bool is_stale (const struct registry *registry,
                      const struct registry_record *record);
static void put_tombstone (struct registry *registry, const char *identity,
                           const struct store_position *position,
                           uint64_t now_ns);
static void bury (struct registry *registry,
                  struct registry_upstream *upstream,
                  const struct store_position *position, uint64_t now_ns);
static void expire_tombstones (struct registry *registry, uint64_t now_ns);

void
registry_init (struct registry *registry)
{
  memset (registry, 0, sizeof (*registry));
}

void
registry_finish (struct registry *registry)
{
  struct registry_upstream *upstream = registry->upstreams;
  struct registry_upstream *next;

  HASH_CLEAR (hh_id, registry->by_id);
  HASH_CLEAR (hh, registry->upstreams);
  for (; upstream != NULL; upstream = next)
    {
      next = upstream->hh.next;
      free (upstream);
    }
  expire_tombstones (registry, UINT64_MAX);
}

static struct registry_upstream *
find_by_identity (const struct registry *registry, const char *identity)
{
  struct registry_upstream *upstream;

  HASH_FIND (hh, registry->upstreams, identity, strlen (identity), upstream);
  return upstream;
}

struct registry_upstream *
registry_find (const struct registry *registry, uint64_t id)
{
  struct registry_upstream *upstream;

  HASH_FIND (hh_id, registry->by_id, &id, sizeof (id), upstream);
  return upstream;
}

uint64_t
registry_backlog_tokens (const struct registry_upstream *upstream)
{
  return upstream->load.prefill_tokens + upstream->load.peer_prefill_tokens;
}

void
registry_add_queued (struct registry_upstream *upstream, uint64_t tokens,
                     uint64_t weight)
{
  upstream->load.queued_tokens += tokens;
  upstream->load.queued_weight += weight;
}

void
registry_remove_queued (struct registry_upstream *upstream, uint64_t tokens,
                        uint64_t weight)
{
  struct registry_load *load = &upstream->load;

  load->queued_tokens
      -= tokens < load->queued_tokens ? tokens : load->queued_tokens;
  load->queued_weight
      -= weight < load->queued_weight ? weight : load->queued_weight;
}

bool
registry_has_free_slot (const struct registry_upstream *upstream)
{
  return upstream->load.running + upstream->load.peer_running
         < upstream->record.slots;
}

bool
registry_usable (const struct registry_upstream *upstream, uint64_t service_id)
{
  return upstream->record.service_id == service_id
         && !upstream->record.draining && !upstream->leaving;
}

bool
registry_set_leaving (struct registry *registry,
                      struct registry_upstream *upstream)
{
  if (upstream->leaving)
    return false;
  upstream->leaving = true;
  registry->generation++;
  return true;
}

bool
registry_pause (struct registry_upstream *upstream, uint64_t pause_ns,
                uint64_t now_ns)
{
  bool wanted = !registry_paused (upstream, now_ns);

  if (now_ns + pause_ns > upstream->pause_end_ns)
    upstream->pause_end_ns = now_ns + pause_ns;
  return wanted;
}

bool
registry_paused (const struct registry_upstream *upstream, uint64_t now_ns)
{
  return upstream->pause_end_ns > now_ns;
}

uint64_t
registry_pause_left_ns (const struct registry *registry, uint64_t service_id,
                        uint64_t now_ns)
{
  const struct registry_upstream *upstream;
  uint64_t least = UINT64_MAX;
  uint64_t left;
  uint64_t wait;

  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (!registry_usable (upstream, service_id))
        continue;
      left = registry_paused (upstream, now_ns)
                 ? upstream->pause_end_ns - now_ns
                 : 0;
      wait = rate_limit_wait_ns (&upstream->limit, now_ns);
      left = left > wait ? left : wait;
      least = left < least ? left : least;
    }
  return least == UINT64_MAX ? 0 : least;
}

/* A restarted upstream is a new one under the same identity: nothing known of
   the previous incarnation applies to it. */
static uint64_t
incarnation_id (const struct registry_record *record)
{
  return XXH3_64bits_withSeed (record->identity, strlen (record->identity),
                               record->start_ms);
}

static uint64_t
build_hash (const struct registry_record *record)
{
  uint64_t hash = XXH3_64bits (record->build, strlen (record->build));

  return hash == 0 ? 1 : hash;
}

uint64_t
registry_single_build (const struct registry *registry, uint64_t service_id)
{
  const struct registry_upstream *upstream;
  uint64_t build = 0;

  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (upstream->record.service_id != service_id)
        continue;
      if (build != 0 && upstream->build != build)
        return 0;
      build = upstream->build;
    }
  return build;
}

bool
registry_has_build (const struct registry *registry, uint64_t service_id,
                    uint64_t build)
{
  const struct registry_upstream *upstream;

  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (registry_usable (upstream, service_id)
        && (build == 0 || upstream->build == build))
      return true;
  return false;
}

int
registry_put (struct registry *registry, const struct registry_record *record)
{
  struct registry_upstream *stored
      = find_by_identity (registry, record->identity);
  bool changed;

  if (stored == NULL)
    return is_stale (registry, record) ? ERR_STALE
                                       : add_upstream (registry, record);
  stored->listed = true;
  if (store_position_compare (&record->position, &stored->record.position) < 0
      || (stored->missing_ns != 0
          && !is_after (&record->position, &stored->missing_position)))
    return ERR_STALE;
  if (strcmp (stored->record.build, record->build) != 0
      && registry->rebuilt != NULL)
    registry->rebuilt (registry->user, stored);
  if (stored->id != incarnation_id (record)
      || stored->record.service_id != record->service_id
      || strcmp (stored->record.address, record->address) != 0)
    {
      remove_upstream (registry, stored);
      return add_upstream (registry, record);
    }
  changed
      = stored->record.draining != record->draining
        || stored->record.slots != record->slots
        || strcmp (stored->record.build, record->build) != 0
        || strcmp (stored->record.availability_zone, record->availability_zone)
               != 0;
  if (changed || stored->missing_ns != 0)
    registry->generation++;
  if (stored->build != build_hash (record))
    registry->generation++;
  stored->record = *record;
  stored->build = build_hash (record);
  stored->missing_ns = 0;
  return changed ? REGISTRY_CHANGED : 0;
}

static int
add_upstream (struct registry *registry, const struct registry_record *record)
{
  struct registry_upstream *upstream = calloc (1, sizeof (*upstream));
  const struct registry_tombstone *tombstone
      = find_tombstone (registry, record->identity);

  if (upstream == NULL)
    return ERR_NO_MEMORY;
  upstream->record = *record;
  upstream->id = incarnation_id (record);
  upstream->build = build_hash (record);
  upstream->leaving
      = tombstone != NULL && tombstone->leaving_id == upstream->id;
  upstream->listed = true;
  HASH_ADD (hh, registry->upstreams, record.identity[0],
            strlen (upstream->record.identity), upstream);
  HASH_ADD (hh_id, registry->by_id, id, sizeof (upstream->id), upstream);
  registry->generation++;
  return REGISTRY_CHANGED;
}

static void
remove_upstream (struct registry *registry, struct registry_upstream *upstream)
{
  /* False positive: the analyzer assumes that the entry freed in one call is
     the head of the table in the next. */
  /* NOLINTBEGIN(clang-analyzer-unix.Malloc) */
  HASH_DELETE (hh, registry->upstreams, upstream);
  HASH_DELETE (hh_id, registry->by_id, upstream);
  /* NOLINTEND(clang-analyzer-unix.Malloc) */
  if (registry->removed != NULL)
    registry->removed (registry->user, upstream);
  free (upstream);
  registry->generation++;
}

bool
registry_is_copy (struct registry *registry,
                  const struct registry_record *record)
{
  struct registry_upstream *stored
      = find_by_identity (registry, record->identity);
  struct registry_tombstone *tombstone
      = find_tombstone (registry, record->identity);

  if (stored != NULL)
    {
      if (!stored->record.draining || record->draining
          || stored->id != incarnation_id (record)
          || !is_first_of_era (&stored->copy_position,
                               &stored->record.position, &record->position))
        return false;
      stored->listed = true;
      return true;
    }
  return tombstone != NULL
         && is_first_of_era (&tombstone->copy_position, &tombstone->position,
                             &record->position);
}

static bool
is_after (const struct store_position *position,
          const struct store_position *other)
{
  return store_position_compare (position, other) > 0;
}

static void
raise_to (struct store_position *greatest,
          const struct store_position *position)
{
  if (is_after (position, greatest))
    *greatest = *position;
}

/* Whether no later record of the era of `position` has been seen. */
static bool
is_first_of_era (struct store_position *copy,
                 const struct store_position *known,
                 const struct store_position *position)
{
  if (digits_compare (&position->era, &known->era) <= 0)
    return false;
  if (digits_compare (&position->era, &copy->era) > 0)
    *copy = *position;
  return !is_after (position, copy);
}

void
registry_mark_missing (struct registry *registry, const char *identity,
                       const struct store_position *position,
                       uint64_t grace_ns, uint64_t now_ns)
{
  struct registry_upstream *upstream = find_by_identity (registry, identity);

  if (upstream == NULL)
    put_tombstone (registry, identity, position, now_ns);
  else if (!is_after (&upstream->record.position, position))
    mark_missing (registry, upstream, position, grace_ns, now_ns);
}

static void
mark_missing (struct registry *registry, struct registry_upstream *upstream,
              const struct store_position *position, uint64_t grace_ns,
              uint64_t now_ns)
{
  if (upstream->missing_ns == 0
      || is_after (position, &upstream->missing_position))
    upstream->missing_position = *position;
  if (grace_ns == 0 || upstream->record.draining || upstream->leaving)
    {
      bury (registry, upstream, position, now_ns);
      return;
    }
  if (upstream->missing_ns != 0)
    return;
  upstream->missing_ns = now_ns;
  upstream->grace_ns = grace_ns;
}

void
registry_listing_begin (struct registry *registry)
{
  struct registry_upstream *upstream;

  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    upstream->listed = false;
}

void
registry_listing_end (struct registry *registry,
                      const struct store_position *position, uint64_t grace_ns,
                      uint64_t now_ns)
{
  struct registry_upstream *upstream;
  struct registry_upstream *next;

  for (upstream = registry->upstreams; upstream != NULL; upstream = next)
    {
      next = upstream->hh.next;
      if (!upstream->listed
          && !is_after (&upstream->record.position, position))
        mark_missing (registry, upstream, position, grace_ns, now_ns);
    }
  raise_to (&registry->listed_position, position);
}

void
registry_expire (struct registry *registry, uint64_t now_ns)
{
  struct registry_upstream *upstream;
  struct registry_upstream *next;

  for (upstream = registry->upstreams; upstream != NULL; upstream = next)
    {
      next = upstream->hh.next;
      if (upstream->missing_ns != 0
          && now_ns - upstream->missing_ns >= upstream->grace_ns)
        {
          bury (registry, upstream, &upstream->missing_position, now_ns);
        }
    }
  expire_tombstones (registry, now_ns);
}

/* Instances receive changes from several others, some of which lag behind.  A
   record older than the removal of the upstream, or than a listing without
   it, must not add it again. */
static bool
is_stale (const struct registry *registry,
          const struct registry_record *record)
{
  const struct registry_tombstone *tombstone
      = find_tombstone (registry, record->identity);

  return (!store_position_is_none (&registry->listed_position)
          && !is_after (&record->position, &registry->listed_position))
         || (tombstone != NULL
             && !is_after (&record->position, &tombstone->position));
}

static struct registry_tombstone *
find_tombstone (const struct registry *registry, const char *identity)
{
  uint64_t hash = XXH3_64bits (identity, strlen (identity));
  struct registry_tombstone *tombstone;

  HASH_FIND (hh, registry->tombstones, &hash, sizeof hash, tombstone);
  return tombstone;
}

static void
put_tombstone (struct registry *registry, const char *identity,
               const struct store_position *position, uint64_t now_ns)
{
  struct registry_tombstone *tombstone = find_tombstone (registry, identity);

  if (tombstone == NULL)
    {
      tombstone = calloc (1, sizeof *tombstone);
      /* Without memory for a tombstone, older records of all unknown upstreams
         are rejected; the next listing adds those that exist. */
      if (tombstone == NULL)
        {
          raise_to (&registry->listed_position, position);
          return;
        }
      tombstone->identity = XXH3_64bits (identity, strlen (identity));
      HASH_ADD (hh, registry->tombstones, identity, sizeof tombstone->identity,
                tombstone);
    }
  raise_to (&tombstone->position, position);
  tombstone->removed_ns = now_ns;
}

/* Removes an upstream that the store lacks, and leaves a tombstone. */
static void
bury (struct registry *registry, struct registry_upstream *upstream,
      const struct store_position *position, uint64_t now_ns)
{
  struct registry_tombstone *tombstone;

  put_tombstone (registry, upstream->record.identity, position, now_ns);
  tombstone = find_tombstone (registry, upstream->record.identity);
  if (tombstone != NULL && upstream->leaving)
    tombstone->leaving_id = upstream->id;
  remove_upstream (registry, upstream);
}

static void
expire_tombstones (struct registry *registry, uint64_t now_ns)
{
  struct registry_tombstone *tombstone;
  struct registry_tombstone *next;

  for (tombstone = registry->tombstones; tombstone != NULL; tombstone = next)
    {
      next = tombstone->hh.next;
      if (now_ns - tombstone->removed_ns < REGISTRY_TOMBSTONE_MS * NS_PER_MS)
        continue;
      /* False positive: the analyzer assumes that an entry freed before is
         the head of the table. */
      /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
      HASH_DELETE (hh, registry->tombstones, tombstone);
      free (tombstone);
    }
}

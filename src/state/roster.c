/**
 * @file roster.c
 * The table of upstreams.
 */
#include "state/roster.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */

static struct roster_upstream *find_identity (const struct roster *roster,
                                              const char *identity);
static uint64_t life_id (const struct roster_record *record);
static int add (struct roster *roster, const struct roster_record *record);
static void remove_upstream (struct roster *roster,
                             struct roster_upstream *upstream);
static void set_missing (struct roster *roster,
                         struct roster_upstream *upstream, uint64_t revision,
                         uint64_t grace_ns, uint64_t now_ns);
static bool is_gone (const struct roster *roster,
                     const struct roster_record *record);
static void note_gone (struct roster *roster, const char *identity,
                       uint64_t revision, uint64_t now_ns);
static void forget_gone (struct roster *roster, uint64_t now_ns);

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
  forget_gone (roster, UINT64_MAX);
}

static struct roster_upstream *
find_identity (const struct roster *roster, const char *identity)
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

/* One identity that starts again is another upstream: it holds nothing of
   what the life before it held. */
static uint64_t
life_id (const struct roster_record *record)
{
  return XXH3_64bits_withSeed (record->identity, strlen (record->identity),
                               record->born_ms);
}

int
roster_put (struct roster *roster, const struct roster_record *record)
{
  struct roster_upstream *known = find_identity (roster, record->identity);
  bool changed;

  if (known == NULL)
    return is_gone (roster, record) ? ERR_STALE : add (roster, record);
  known->seen = true;
  if (record->revision < known->record.revision
      || (known->missing_ns != 0 && record->revision <= known->gone_revision))
    return ERR_STALE;
  if (known->id != life_id (record)
      || known->record.service_id != record->service_id
      || strcmp (known->record.address, record->address) != 0)
    {
      remove_upstream (roster, known);
      return add (roster, record);
    }
  changed
      = known->record.draining != record->draining
        || known->record.slots != record->slots
        || strcmp (known->record.availability_zone, record->availability_zone)
               != 0;
  if (changed || known->missing_ns != 0)
    roster->generation++;
  known->record = *record;
  known->missing_ns = 0;
  return changed ? ROSTER_CHANGED : 0;
}

static int
add (struct roster *roster, const struct roster_record *record)
{
  struct roster_upstream *upstream = calloc (1, sizeof (*upstream));

  if (upstream == NULL)
    return ERR_NO_MEMORY;
  upstream->record = *record;
  upstream->id = life_id (record);
  upstream->seen = true;
  HASH_ADD (hh, roster->upstreams, record.identity[0],
            strlen (upstream->record.identity), upstream);
  HASH_ADD (hh_id, roster->by_id, id, sizeof (upstream->id), upstream);
  roster->generation++;
  return ROSTER_CHANGED;
}

static void
remove_upstream (struct roster *roster, struct roster_upstream *upstream)
{
  /* The analyzer takes what was freed in one call for the head in the next. */
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
  struct roster_upstream *upstream = find_identity (roster, identity);

  if (upstream == NULL)
    note_gone (roster, identity, revision, now_ns);
  else if (upstream->record.revision <= revision)
    set_missing (roster, upstream, revision, grace_ns, now_ns);
}

static void
set_missing (struct roster *roster, struct roster_upstream *upstream,
             uint64_t revision, uint64_t grace_ns, uint64_t now_ns)
{
  if (upstream->missing_ns == 0 || upstream->gone_revision < revision)
    upstream->gone_revision = revision;
  if (grace_ns == 0 || upstream->record.draining)
    {
      note_gone (roster, upstream->record.identity, revision, now_ns);
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
    upstream->seen = false;
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
      if (!upstream->seen && upstream->record.revision <= revision)
        set_missing (roster, upstream, revision, grace_ns, now_ns);
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
          note_gone (roster, upstream->record.identity,
                     upstream->gone_revision, now_ns);
          remove_upstream (roster, upstream);
        }
    }
  forget_gone (roster, now_ns);
}

/* Instances hear of changes from several others, some of which lag: news of
   an upstream from before it went, or from before a listing that lacks it,
   must not bring it back. */
static bool
is_gone (const struct roster *roster, const struct roster_record *record)
{
  uint64_t identity
      = XXH3_64bits (record->identity, strlen (record->identity));
  const struct roster_gone *gone;

  HASH_FIND (hh, roster->gone, &identity, sizeof identity, gone);
  return (roster->listed_revision != 0
          && record->revision <= roster->listed_revision)
         || (gone != NULL && record->revision <= gone->revision);
}

static void
note_gone (struct roster *roster, const char *identity, uint64_t revision,
           uint64_t now_ns)
{
  uint64_t hash = XXH3_64bits (identity, strlen (identity));
  struct roster_gone *gone;

  HASH_FIND (hh, roster->gone, &hash, sizeof hash, gone);
  if (gone == NULL)
    {
      gone = calloc (1, sizeof *gone);
      /* Without memory for one, older news of any that are unknown are
         refused: the next listing tells of those that are there. */
      if (gone == NULL)
        {
          if (revision > roster->listed_revision)
            roster->listed_revision = revision;
          return;
        }
      gone->identity = hash;
      HASH_ADD (hh, roster->gone, identity, sizeof gone->identity, gone);
    }
  if (revision > gone->revision)
    gone->revision = revision;
  gone->since_ns = now_ns;
}

static void
forget_gone (struct roster *roster, uint64_t now_ns)
{
  struct roster_gone *gone;
  struct roster_gone *next;

  for (gone = roster->gone; gone != NULL; gone = next)
    {
      next = gone->hh.next;
      if (now_ns - gone->since_ns < ROSTER_GONE_MS * NS_PER_MS)
        continue;
      /* The analyzer takes what was freed before for the head. */
      /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
      HASH_DELETE (hh, roster->gone, gone);
      free (gone);
    }
}

/**
 * @file quarantine.c
 * Evidence of crashes by request and by part of a prompt, and what is held.
 */
#include "state/quarantine.h"
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */
/* Age up to which a response is evidence for its subjects.  Parts that many
   requests share, and requests that are sent again and again, appear in
   responses more often, even while some upstreams are down. */
#define RESPONSE_VALID_MS 3000
/* Requests that one crash breaks off end within this time. */
#define CRASH_INTERVAL_MS 1000
/* From the last crash that is needed until an entry is held: a response at
   another instance becomes known in between. */
#define SETTLE_MS 250
/* Crashes longer ago than this have no cause in common. */
#define EVIDENCE_TTL_MS 300000
/* An entry is released this long after its last crash: upstreams have been
   replaced since. */
#define HELD_TTL_MS 3600000
/* First pause before a trial of a part; doubles with each one. */
#define TRIAL_DELAY_MS 30000
/* Pauses before the first trial of a request and before further ones.  One
   that was in the crashes by chance is known by its first trial, for which
   upstreams are back by then; the pause is extended by up to the spread, so
   that two suspects of the same crashes do not meet at one upstream. */
#define REQUEST_TRIAL_DELAY_MS  2000
#define REQUEST_TRIAL_SPREAD_MS 2000
#define REQUEST_TRIAL_AGAIN_MS  60000
/* Time after which a trial that was granted expires unused. */
#define TRIAL_VALID_MS 60000
#define ENTRIES_MAX    1024
#define SUCCESSES_MAX  4096

/** Last response to a request with a subject. */
struct quarantine_success
{
  struct quarantine_key key;
  uint64_t response_ns;
  UT_hash_handle hh; /* least recent first */
};

static struct quarantine_entry *add_entry (struct quarantine *quarantine,
                                           const struct quarantine_key *key);
static void remove_entry (struct quarantine *quarantine,
                          struct quarantine_entry *entry);
static struct quarantine_crashes *
upstream_crashes (struct quarantine_entry *entry, uint64_t upstream_id);
static struct quarantine_entry *
least_suspected (const struct quarantine *quarantine);
static bool is_request (const struct quarantine_entry *entry);
static uint32_t crash_count (const struct quarantine_entry *entry);
static bool is_held (const struct quarantine_entry *entry, uint64_t now_ns);
static void mark_changed (struct quarantine *quarantine,
                          struct quarantine_entry *entry);
static void count_changed (struct quarantine *quarantine,
                           struct quarantine_entry *entry, uint64_t now_ns);
static void start_generation (struct quarantine *quarantine,
                              struct quarantine_entry *entry,
                              uint32_t generation);
static bool responded_recently (const struct quarantine *quarantine,
                                const struct quarantine_key *key,
                                uint64_t now_ns);
static void record_success (struct quarantine *quarantine,
                            const struct quarantine_key *key, uint64_t now_ns);
static void merge_row (struct quarantine *quarantine,
                       struct quarantine_entry *entry,
                       const struct quarantine_row *row, uint64_t now_ns);
static void schedule_trial (struct quarantine_entry *entry, uint64_t now_ns);

void
quarantine_init (struct quarantine *quarantine)
{
  memset (quarantine, 0, sizeof *quarantine);
}

void
quarantine_finish (struct quarantine *quarantine)
{
  struct quarantine_entry *entry = quarantine->entries;
  struct quarantine_entry *next_part;
  struct quarantine_success *success = quarantine->successes;
  struct quarantine_success *next_success;

  HASH_CLEAR (hh, quarantine->entries);
  for (; entry != NULL; entry = next_part)
    {
      next_part = entry->hh.next;
      free (entry);
    }
  HASH_CLEAR (hh, quarantine->successes);
  for (; success != NULL; success = next_success)
    {
      next_success = success->hh.next;
      free (success);
    }
}

struct quarantine_entry *
quarantine_find (const struct quarantine *quarantine,
                 const struct quarantine_key *key)
{
  struct quarantine_entry *entry;

  /* False positive: the analyzer takes the bytes of a key for uninitialised.
   */
  /* NOLINTNEXTLINE(clang-analyzer-core.UndefinedBinaryOperatorResult) */
  HASH_FIND (hh, quarantine->entries, key, sizeof *key, entry);
  return entry;
}

/* Of those that are not held the one with the fewest crashes, the least
   recently changed among them; NULL if all are held.  Requests that are never
   the same do not displace one that was in several crashes. */
static struct quarantine_entry *
least_suspected (const struct quarantine *quarantine)
{
  struct quarantine_entry *entry;
  struct quarantine_entry *least = NULL;

  for (entry = quarantine->entries; entry != NULL; entry = entry->hh.next)
    if (entry->held_ns == 0
        && (least == NULL || crash_count (entry) < crash_count (least)))
      least = entry;
  return least;
}

static struct quarantine_entry *
add_entry (struct quarantine *quarantine, const struct quarantine_key *key)
{
  struct quarantine_entry *entry = quarantine_find (quarantine, key);
  struct quarantine_entry *least;

  if (entry != NULL)
    return entry;
  if (HASH_COUNT (quarantine->entries) >= ENTRIES_MAX)
    {
      least = least_suspected (quarantine);
      if (least == NULL)
        return NULL;
      remove_entry (quarantine, least);
    }
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->key = *key;
  quarantine->request_count += is_request (entry);
  HASH_ADD (hh, quarantine->entries, key, sizeof entry->key, entry);
  return entry;
}

static void
remove_entry (struct quarantine *quarantine, struct quarantine_entry *entry)
{
  /* False positive: the analyzer assumes that the entry freed in one call is
     the head of the table in the next. */
  /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
  HASH_DEL (quarantine->entries, entry);
  quarantine->request_count -= is_request (entry);
  free (entry);
}

static bool
is_request (const struct quarantine_entry *entry)
{
  return entry->key.service_id == QUARANTINE_REQUEST;
}

static struct quarantine_crashes *
upstream_crashes (struct quarantine_entry *entry, uint64_t upstream_id)
{
  uint32_t i;

  for (i = 0; i < entry->upstream_count; i++)
    if (entry->crashes[i].upstream_id == upstream_id)
      return &entry->crashes[i];
  if (entry->upstream_count == QUARANTINE_UPSTREAMS_MAX)
    return NULL;
  entry->crashes[entry->upstream_count]
      = (struct quarantine_crashes){ .upstream_id = upstream_id };
  return &entry->crashes[entry->upstream_count++];
}

static uint32_t
crash_count (const struct quarantine_entry *entry)
{
  uint32_t count = 0;
  uint32_t i;

  for (i = 0; i < entry->upstream_count; i++)
    count += entry->crashes[i].count;
  return count;
}

static bool
is_held (const struct quarantine_entry *entry, uint64_t now_ns)
{
  return entry->held_ns != 0 && now_ns >= entry->held_ns;
}

static void
mark_changed (struct quarantine *quarantine, struct quarantine_entry *entry)
{
  entry->sequence = ++quarantine->sequence;
  if (!quarantine->relayed)
    entry->local_sequence = entry->sequence;
  HASH_DEL (quarantine->entries, entry);
  HASH_ADD (hh, quarantine->entries, key, sizeof entry->key, entry);
}

/* A crash was added. */
static void
count_changed (struct quarantine *quarantine, struct quarantine_entry *entry,
               uint64_t now_ns)
{
  const uint32_t limit = is_request (entry) ? QUARANTINE_REQUEST_CRASH_LIMIT
                                            : QUARANTINE_CRASH_LIMIT;

  entry->crash_ns = now_ns;
  mark_changed (quarantine, entry);
  if (entry->held_ns != 0 || crash_count (entry) < limit)
    return;
  entry->held_ns = now_ns + SETTLE_MS * NS_PER_MS;
  schedule_trial (entry, now_ns);
  if (quarantine->changed != NULL)
    quarantine->changed (quarantine->user, entry);
}

static void
schedule_trial (struct quarantine_entry *entry, uint64_t now_ns)
{
  uint64_t delay_ms;

  if (!is_request (entry))
    delay_ms = (uint64_t)TRIAL_DELAY_MS << entry->trials;
  else if (entry->trials == 0)
    delay_ms = REQUEST_TRIAL_DELAY_MS
               + entry->key.subject % REQUEST_TRIAL_SPREAD_MS;
  else
    delay_ms = REQUEST_TRIAL_AGAIN_MS;
  entry->trial_ns = now_ns + delay_ms * NS_PER_MS;
}

static void
start_generation (struct quarantine *quarantine,
                  struct quarantine_entry *entry, uint32_t generation)
{
  bool held = entry->held_ns != 0;

  entry->generation = generation;
  entry->trials = 0;
  entry->upstream_count = 0;
  entry->held_ns = 0;
  entry->trial_end_ns = 0;
  mark_changed (quarantine, entry);
  if (held && quarantine->changed != NULL)
    quarantine->changed (quarantine->user, entry);
}

/* Evidence. */

static bool
responded_recently (const struct quarantine *quarantine,
                    const struct quarantine_key *key, uint64_t now_ns)
{
  const struct quarantine_success *success;

  HASH_FIND (hh, quarantine->successes, key, sizeof *key, success);
  return success != NULL
         && now_ns - success->response_ns < RESPONSE_VALID_MS * NS_PER_MS;
}

static void
record_success (struct quarantine *quarantine,
                const struct quarantine_key *key, uint64_t now_ns)
{
  struct quarantine_success *success;

  HASH_FIND (hh, quarantine->successes, key, sizeof *key, success);
  if (success == NULL && HASH_COUNT (quarantine->successes) >= SUCCESSES_MAX)
    success = quarantine->successes;
  if (success != NULL)
    HASH_DEL (quarantine->successes, success);
  else
    success = calloc (1, sizeof *success);
  if (success == NULL)
    return;
  success->key = *key;
  success->response_ns = now_ns;
  HASH_ADD (hh, quarantine->successes, key, sizeof success->key, success);
}

void
quarantine_record_crash (struct quarantine *quarantine, uint64_t service_id,
                         const uint64_t *subjects, size_t count,
                         uint64_t upstream_id, uint64_t now_ns)
{
  struct quarantine_crashes *crashes;
  struct quarantine_entry *entry;
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct quarantine_key key = { service_id, subjects[i] };

      if (responded_recently (quarantine, &key, now_ns))
        continue;
      entry = add_entry (quarantine, &key);
      crashes = entry == NULL ? NULL : upstream_crashes (entry, upstream_id);
      if (crashes == NULL
          || (crashes->counted_ns != 0
              && now_ns - crashes->counted_ns < CRASH_INTERVAL_MS * NS_PER_MS))
        continue;
      crashes->counted_ns = now_ns;
      crashes->count++;
      count_changed (quarantine, entry, now_ns);
    }
}

void
quarantine_record_response (struct quarantine *quarantine, uint64_t service_id,
                            const uint64_t *subjects, size_t count,
                            uint64_t now_ns)
{
  struct quarantine_entry *entry;
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct quarantine_key key = { service_id, subjects[i] };

      record_success (quarantine, &key, now_ns);
      entry = quarantine_find (quarantine, &key);
      if (entry != NULL && entry->upstream_count > 0)
        start_generation (quarantine, entry, entry->generation + 1);
    }
}

struct quarantine_entry *
quarantine_find_held (struct quarantine *quarantine, uint64_t service_id,
                      const uint64_t *subjects, size_t count, uint64_t now_ns)
{
  struct quarantine_entry *entry;
  size_t i;

  if (quarantine->entries == NULL)
    return NULL;
  for (i = 0; i < count; i++)
    {
      const struct quarantine_key key = { service_id, subjects[i] };

      entry = quarantine_find (quarantine, &key);
      if (entry != NULL && is_held (entry, now_ns))
        return entry;
    }
  return NULL;
}

uint32_t
quarantine_crashes (const struct quarantine *quarantine, uint64_t service_id,
                    const uint64_t *subjects, size_t count)
{
  const struct quarantine_entry *entry;
  uint32_t most = 0;
  uint32_t crashes;
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct quarantine_key key = { service_id, subjects[i] };

      entry = quarantine_find (quarantine, &key);
      crashes = entry == NULL ? 0 : crash_count (entry);
      most = crashes > most ? crashes : most;
    }
  return most;
}

uint32_t
quarantine_held_count (const struct quarantine *quarantine, uint64_t now_ns)
{
  const struct quarantine_entry *entry;
  uint32_t count = 0;

  for (entry = quarantine->entries; entry != NULL; entry = entry->hh.next)
    count += is_held (entry, now_ns);
  return count;
}

/* Trials. */

bool
quarantine_trial_due (const struct quarantine_entry *entry, uint64_t now_ns)
{
  return is_held (entry, now_ns) && !entry->trial_asked
         && entry->trials < QUARANTINE_TRIALS_MAX && now_ns >= entry->trial_ns;
}

void
quarantine_start_trial (struct quarantine *quarantine,
                        struct quarantine_entry *entry, bool own,
                        uint64_t now_ns)
{
  entry->trials++;
  schedule_trial (entry, now_ns);
  if (own)
    entry->trial_end_ns = now_ns + TRIAL_VALID_MS * NS_PER_MS;
  mark_changed (quarantine, entry);
}

bool
quarantine_take_trial (struct quarantine_entry *entry, uint64_t now_ns)
{
  bool valid = entry->trial_end_ns > now_ns;

  entry->trial_end_ns = 0;
  return valid;
}

void
quarantine_return_trial (struct quarantine_entry *entry, uint64_t now_ns)
{
  entry->trial_end_ns = now_ns + TRIAL_VALID_MS * NS_PER_MS;
}

/* Exchange. */

void
quarantine_merge (struct quarantine *quarantine,
                  const struct quarantine_row *row, bool from_hub,
                  uint64_t now_ns)
{
  struct quarantine_entry *entry = add_entry (quarantine, &row->key);

  if (entry == NULL)
    return;
  if (row->generation < entry->generation)
    {
      /* The sender has not heard of the responses since. */
      mark_changed (quarantine, entry);
      return;
    }
  quarantine->relayed = from_hub;
  merge_row (quarantine, entry, row, now_ns);
  quarantine->relayed = false;
  if (entry->upstream_count > 0 && row->upstream_id != 0
      && responded_recently (quarantine, &row->key, now_ns))
    start_generation (quarantine, entry, entry->generation + 1);
}

static void
merge_row (struct quarantine *quarantine, struct quarantine_entry *entry,
           const struct quarantine_row *row, uint64_t now_ns)
{
  struct quarantine_crashes *crashes;

  if (row->generation > entry->generation)
    start_generation (quarantine, entry, row->generation);
  if (row->trials > entry->trials && row->trials <= QUARANTINE_TRIALS_MAX)
    {
      entry->trials = row->trials;
      schedule_trial (entry, now_ns);
      mark_changed (quarantine, entry);
    }
  if (row->upstream_id == 0)
    return;
  crashes = upstream_crashes (entry, row->upstream_id);
  if (crashes != NULL && row->crashes > crashes->count)
    {
      crashes->count = row->crashes;
      count_changed (quarantine, entry, now_ns);
    }
}

size_t
quarantine_rows (const struct quarantine *quarantine, bool local,
                 uint64_t *sequence, struct quarantine_row *rows, size_t max)
{
  const struct quarantine_entry *entry;
  const uint64_t since = *sequence;
  size_t count = 0;
  uint32_t i;

  if (*sequence == quarantine->sequence)
    return 0;
  for (entry = quarantine->entries; entry != NULL; entry = entry->hh.next)
    {
      if (entry->sequence <= *sequence
          || (local && entry->local_sequence <= since))
        continue;
      if (count + entry->upstream_count + 1 > max)
        break;
      rows[count++] = (struct quarantine_row){ .key = entry->key,
                                               .generation = entry->generation,
                                               .trials = entry->trials };
      for (i = 0; i < entry->upstream_count; i++)
        {
          rows[count] = rows[count - 1];
          rows[count].upstream_id = entry->crashes[i].upstream_id;
          rows[count++].crashes = entry->crashes[i].count;
        }
      *sequence = entry->sequence;
    }
  if (entry == NULL)
    *sequence = quarantine->sequence;
  return count;
}

void
quarantine_expire (struct quarantine *quarantine, uint64_t now_ns)
{
  struct quarantine_entry *entry;
  struct quarantine_entry *next;

  for (entry = quarantine->entries; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      if (entry->held_ns == 0 && !entry->stored && !entry->trial_asked
          && now_ns - entry->crash_ns > EVIDENCE_TTL_MS * NS_PER_MS)
        remove_entry (quarantine, entry);
      else if (entry->held_ns != 0
               && now_ns - entry->crash_ns > HELD_TTL_MS * NS_PER_MS)
        start_generation (quarantine, entry, entry->generation + 1);
    }
}

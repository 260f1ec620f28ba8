/**
 * @file quarantine.c
 * Evidence of crashes by part of a prompt, and the parts that are held.
 */
#include "state/quarantine.h"
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */
/* Age up to which a response is evidence for the parts of its prompt.  Parts
   that many requests share appear in responses more often, even while some
   upstreams are down. */
#define RESPONSE_VALID_MS 3000
/* Requests that one crash breaks off end within this time. */
#define CRASH_INTERVAL_MS 1000
/* From the last crash that is needed until a part is held: a response at
   another instance becomes known in between. */
#define SETTLE_MS 250
/* Crashes longer ago than this have no cause in common. */
#define EVIDENCE_TTL_MS 300000
/* A part is released this long after its last crash: upstreams have been
   replaced since. */
#define HELD_TTL_MS 3600000
/* First pause before a trial; doubles with each one. */
#define TRIAL_DELAY_MS 30000
/* Time after which a trial that was granted expires unused. */
#define TRIAL_VALID_MS 60000
#define PARTS_MAX      1024
#define SUCCESSES_MAX  4096

/** Last response to a prompt with a part. */
struct quarantine_success
{
  struct quarantine_key key;
  uint64_t response_ns;
  UT_hash_handle hh; /* least recent first */
};

static struct quarantine_part *add_part (struct quarantine *quarantine,
                                         const struct quarantine_key *key);
static void remove_part (struct quarantine *quarantine,
                         struct quarantine_part *part);
static struct quarantine_crashes *
upstream_crashes (struct quarantine_part *part, uint64_t upstream_id);
static uint32_t crash_count (const struct quarantine_part *part);
static bool is_held (const struct quarantine_part *part, uint64_t now_ns);
static void mark_changed (struct quarantine *quarantine,
                          struct quarantine_part *part);
static void count_changed (struct quarantine *quarantine,
                           struct quarantine_part *part, uint64_t now_ns);
static void start_generation (struct quarantine *quarantine,
                              struct quarantine_part *part,
                              uint32_t generation);
static bool responded_recently (const struct quarantine *quarantine,
                                const struct quarantine_key *key,
                                uint64_t now_ns);
static void record_success (struct quarantine *quarantine,
                            const struct quarantine_key *key, uint64_t now_ns);
static void schedule_trial (struct quarantine_part *part, uint64_t now_ns);

void
quarantine_init (struct quarantine *quarantine)
{
  memset (quarantine, 0, sizeof *quarantine);
}

void
quarantine_finish (struct quarantine *quarantine)
{
  struct quarantine_part *part = quarantine->parts;
  struct quarantine_part *next_part;
  struct quarantine_success *success = quarantine->successes;
  struct quarantine_success *next_success;

  HASH_CLEAR (hh, quarantine->parts);
  for (; part != NULL; part = next_part)
    {
      next_part = part->hh.next;
      free (part);
    }
  HASH_CLEAR (hh, quarantine->successes);
  for (; success != NULL; success = next_success)
    {
      next_success = success->hh.next;
      free (success);
    }
}

struct quarantine_part *
quarantine_find (const struct quarantine *quarantine,
                 const struct quarantine_key *key)
{
  struct quarantine_part *part;

  /* False positive: the analyzer takes the bytes of a key for uninitialised.
   */
  /* NOLINTNEXTLINE(clang-analyzer-core.UndefinedBinaryOperatorResult) */
  HASH_FIND (hh, quarantine->parts, key, sizeof *key, part);
  return part;
}

/* A full table makes room by the part that changed least recently and is not
   held. */
static struct quarantine_part *
add_part (struct quarantine *quarantine, const struct quarantine_key *key)
{
  struct quarantine_part *part = quarantine_find (quarantine, key);
  struct quarantine_part *oldest = quarantine->parts;

  if (part != NULL)
    return part;
  if (HASH_COUNT (quarantine->parts) >= PARTS_MAX)
    {
      while (oldest != NULL && oldest->held_ns != 0)
        oldest = oldest->hh.next;
      if (oldest == NULL)
        return NULL;
      remove_part (quarantine, oldest);
    }
  part = calloc (1, sizeof *part);
  if (part == NULL)
    return NULL;
  part->key = *key;
  HASH_ADD (hh, quarantine->parts, key, sizeof part->key, part);
  return part;
}

static void
remove_part (struct quarantine *quarantine, struct quarantine_part *part)
{
  /* False positive: the analyzer assumes that the entry freed in one call is
     the head of the table in the next. */
  /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
  HASH_DEL (quarantine->parts, part);
  free (part);
}

static struct quarantine_crashes *
upstream_crashes (struct quarantine_part *part, uint64_t upstream_id)
{
  uint32_t i;

  for (i = 0; i < part->upstream_count; i++)
    if (part->crashes[i].upstream_id == upstream_id)
      return &part->crashes[i];
  if (part->upstream_count == QUARANTINE_UPSTREAMS_MAX)
    return NULL;
  part->crashes[part->upstream_count]
      = (struct quarantine_crashes){ .upstream_id = upstream_id };
  return &part->crashes[part->upstream_count++];
}

static uint32_t
crash_count (const struct quarantine_part *part)
{
  uint32_t count = 0;
  uint32_t i;

  for (i = 0; i < part->upstream_count; i++)
    count += part->crashes[i].count;
  return count;
}

static bool
is_held (const struct quarantine_part *part, uint64_t now_ns)
{
  return part->held_ns != 0 && now_ns >= part->held_ns;
}

static void
mark_changed (struct quarantine *quarantine, struct quarantine_part *part)
{
  part->sequence = ++quarantine->sequence;
  HASH_DEL (quarantine->parts, part);
  HASH_ADD (hh, quarantine->parts, key, sizeof part->key, part);
}

/* A crash was added. */
static void
count_changed (struct quarantine *quarantine, struct quarantine_part *part,
               uint64_t now_ns)
{
  part->crash_ns = now_ns;
  mark_changed (quarantine, part);
  if (part->held_ns != 0 || crash_count (part) < QUARANTINE_CRASH_LIMIT)
    return;
  part->held_ns = now_ns + SETTLE_MS * NS_PER_MS;
  schedule_trial (part, now_ns);
  if (quarantine->changed != NULL)
    quarantine->changed (quarantine->user, part);
}

static void
schedule_trial (struct quarantine_part *part, uint64_t now_ns)
{
  part->trial_ns
      = now_ns + ((uint64_t)TRIAL_DELAY_MS << part->trials) * NS_PER_MS;
}

static void
start_generation (struct quarantine *quarantine, struct quarantine_part *part,
                  uint32_t generation)
{
  bool held = part->held_ns != 0;

  part->generation = generation;
  part->trials = 0;
  part->upstream_count = 0;
  part->held_ns = 0;
  part->trial_end_ns = 0;
  mark_changed (quarantine, part);
  if (held && quarantine->changed != NULL)
    quarantine->changed (quarantine->user, part);
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
                         const uint64_t *parts, size_t count,
                         uint64_t upstream_id, uint64_t now_ns)
{
  struct quarantine_crashes *crashes;
  struct quarantine_part *part;
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct quarantine_key key = { service_id, parts[i] };

      if (responded_recently (quarantine, &key, now_ns))
        continue;
      part = add_part (quarantine, &key);
      crashes = part == NULL ? NULL : upstream_crashes (part, upstream_id);
      if (crashes == NULL
          || (crashes->counted_ns != 0
              && now_ns - crashes->counted_ns < CRASH_INTERVAL_MS * NS_PER_MS))
        continue;
      crashes->counted_ns = now_ns;
      crashes->count++;
      count_changed (quarantine, part, now_ns);
    }
}

void
quarantine_record_response (struct quarantine *quarantine, uint64_t service_id,
                            const uint64_t *parts, size_t count,
                            uint64_t now_ns)
{
  struct quarantine_part *part;
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct quarantine_key key = { service_id, parts[i] };

      record_success (quarantine, &key, now_ns);
      part = quarantine_find (quarantine, &key);
      if (part != NULL && part->upstream_count > 0)
        start_generation (quarantine, part, part->generation + 1);
    }
}

struct quarantine_part *
quarantine_find_held (struct quarantine *quarantine, uint64_t service_id,
                      const uint64_t *parts, size_t count, uint64_t now_ns)
{
  struct quarantine_part *part;
  size_t i;

  if (quarantine->parts == NULL)
    return NULL;
  for (i = 0; i < count; i++)
    {
      const struct quarantine_key key = { service_id, parts[i] };

      part = quarantine_find (quarantine, &key);
      if (part != NULL && is_held (part, now_ns))
        return part;
    }
  return NULL;
}

uint32_t
quarantine_crashes (const struct quarantine *quarantine, uint64_t service_id,
                    const uint64_t *parts, size_t count)
{
  const struct quarantine_part *part;
  uint32_t most = 0;
  uint32_t crashes;
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct quarantine_key key = { service_id, parts[i] };

      part = quarantine_find (quarantine, &key);
      crashes = part == NULL ? 0 : crash_count (part);
      most = crashes > most ? crashes : most;
    }
  return most;
}

uint32_t
quarantine_held_count (const struct quarantine *quarantine, uint64_t now_ns)
{
  const struct quarantine_part *part;
  uint32_t count = 0;

  for (part = quarantine->parts; part != NULL; part = part->hh.next)
    count += is_held (part, now_ns);
  return count;
}

/* Trials. */

bool
quarantine_trial_due (const struct quarantine_part *part, uint64_t now_ns)
{
  return is_held (part, now_ns) && !part->trial_asked
         && part->trials < QUARANTINE_TRIALS_MAX && now_ns >= part->trial_ns;
}

void
quarantine_start_trial (struct quarantine *quarantine,
                        struct quarantine_part *part, bool own,
                        uint64_t now_ns)
{
  part->trials++;
  schedule_trial (part, now_ns);
  if (own)
    part->trial_end_ns = now_ns + TRIAL_VALID_MS * NS_PER_MS;
  mark_changed (quarantine, part);
}

bool
quarantine_take_trial (struct quarantine_part *part, uint64_t now_ns)
{
  bool valid = part->trial_end_ns > now_ns;

  part->trial_end_ns = 0;
  return valid;
}

/* Exchange. */

void
quarantine_merge (struct quarantine *quarantine,
                  const struct quarantine_row *row, uint64_t now_ns)
{
  struct quarantine_part *part = add_part (quarantine, &row->key);
  struct quarantine_crashes *crashes;

  if (part == NULL)
    return;
  if (row->generation < part->generation)
    {
      /* The sender has not heard of the responses since. */
      mark_changed (quarantine, part);
      return;
    }
  if (row->generation > part->generation)
    start_generation (quarantine, part, row->generation);
  if (row->trials > part->trials)
    {
      part->trials = row->trials;
      schedule_trial (part, now_ns);
      mark_changed (quarantine, part);
    }
  if (row->upstream_id == 0)
    return;
  crashes = upstream_crashes (part, row->upstream_id);
  if (crashes != NULL && row->crashes > crashes->count)
    {
      crashes->count = row->crashes;
      count_changed (quarantine, part, now_ns);
    }
  if (part->upstream_count > 0
      && responded_recently (quarantine, &row->key, now_ns))
    start_generation (quarantine, part, part->generation + 1);
}

size_t
quarantine_rows (const struct quarantine *quarantine, uint64_t *sequence,
                 struct quarantine_row *rows, size_t max)
{
  const struct quarantine_part *part;
  size_t count = 0;
  uint32_t i;

  if (*sequence == quarantine->sequence)
    return 0;
  for (part = quarantine->parts; part != NULL; part = part->hh.next)
    {
      if (part->sequence <= *sequence)
        continue;
      if (count + part->upstream_count + 1 > max)
        break;
      rows[count++] = (struct quarantine_row){ .key = part->key,
                                               .generation = part->generation,
                                               .trials = part->trials };
      for (i = 0; i < part->upstream_count; i++)
        {
          rows[count] = rows[count - 1];
          rows[count].upstream_id = part->crashes[i].upstream_id;
          rows[count++].crashes = part->crashes[i].count;
        }
      *sequence = part->sequence;
    }
  return count;
}

void
quarantine_expire (struct quarantine *quarantine, uint64_t now_ns)
{
  struct quarantine_part *part;
  struct quarantine_part *next;

  for (part = quarantine->parts; part != NULL; part = next)
    {
      next = part->hh.next;
      if (part->held_ns == 0 && !part->stored && !part->trial_asked
          && now_ns - part->crash_ns > EVIDENCE_TTL_MS * NS_PER_MS)
        remove_part (quarantine, part);
      else if (part->held_ns != 0
               && now_ns - part->crash_ns > HELD_TTL_MS * NS_PER_MS)
        start_generation (quarantine, part, part->generation + 1);
    }
}

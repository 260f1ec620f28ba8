/**
 * @file placement.c
 * Placement policies: prefix affinity and least busy.
 */
#include "state/placement.h"
#include <string.h>
#include <xxhash.h>

#define LOAD_REPORT_TTL_NS                                                    \
  2000000000u /* age up to which a reported load is used */

/* Suitability of an upstream for a request; compared field by field. */
struct placement_score
{
  bool not_failed;        /* no attempt has just failed there */
  bool has_free_slots;    /* not all of its slots are in use */
  bool same_zone;         /* in the same availability zone */
  uint64_t affinity;      /* rendezvous hash of the prefix; 0 for none */
  uint64_t free_fraction; /* fraction of free slots, in 1/65536 */
};

typedef int (*placement_compare) (const struct placement_score *a,
                                  const struct placement_score *b);

static struct placement_score score (const struct slots_entry *entry,
                                     const struct catalog_upstream *upstream,
                                     const struct placement_request *request);
static uint64_t best_upstream (const struct slots *slots,
                               const struct placement_request *request,
                               placement_compare compare);
static int compare_affine (const struct placement_score *a,
                           const struct placement_score *b);
static int compare_least_busy (const struct placement_score *a,
                               const struct placement_score *b);
static uint64_t choose_affine (const struct slots *slots,
                               const struct placement_request *request);
static uint64_t choose_least_busy (const struct slots *slots,
                                   const struct placement_request *request);

const struct placement_policy placement_affine = { "affine", choose_affine };
const struct placement_policy placement_least_busy
    = { "least_busy", choose_least_busy };

static struct placement_score
score (const struct slots_entry *entry,
       const struct catalog_upstream *upstream,
       const struct placement_request *request)
{
  struct placement_score score = { 0 };
  uint64_t load = entry->busy;
  uint64_t pair[2] = { request->prefix_hash, entry->upstream_id };

  if (entry->reported_ns != 0
      && request->now_ns < entry->reported_ns + LOAD_REPORT_TTL_NS
      && entry->reported_running > load)
    load = entry->reported_running;
  score.not_failed = entry->upstream_id != request->failed_upstream_id;
  score.has_free_slots = load < upstream->slots;
  score.same_zone
      = request->availability_zone != NULL
        && strcmp (upstream->availability_zone, request->availability_zone)
               == 0;
  if (request->prefix_hash != 0)
    score.affinity = XXH3_64bits (pair, sizeof pair) | 1;
  if (score.has_free_slots)
    score.free_fraction = ((upstream->slots - load) << 16) / upstream->slots;
  return score;
}

static int
compare_affine (const struct placement_score *a,
                const struct placement_score *b)
{
  if (a->not_failed != b->not_failed)
    return a->not_failed ? 1 : -1;
  if (a->has_free_slots != b->has_free_slots)
    return a->has_free_slots ? 1 : -1;
  if (a->affinity != b->affinity)
    return a->affinity > b->affinity ? 1 : -1;
  if (a->same_zone != b->same_zone)
    return a->same_zone ? 1 : -1;
  if (a->free_fraction != b->free_fraction)
    return a->free_fraction > b->free_fraction ? 1 : -1;
  return 0;
}

static int
compare_least_busy (const struct placement_score *a,
                    const struct placement_score *b)
{
  if (a->not_failed != b->not_failed)
    return a->not_failed ? 1 : -1;
  if (a->free_fraction != b->free_fraction)
    return a->free_fraction > b->free_fraction ? 1 : -1;
  return 0;
}

static uint64_t
best_upstream (const struct slots *slots,
               const struct placement_request *request,
               placement_compare compare)
{
  struct placement_score best_score = { 0 };
  uint64_t best_id = 0;
  uint32_t i;

  for (i = 0; i < request->service->upstream_count; i++)
    {
      const struct catalog_upstream *upstream
          = &request->service->upstreams[i];
      const struct slots_entry *entry = slots_find (slots, upstream->id);
      struct placement_score candidate;

      if (entry == NULL || upstream->draining
          || slots_free (entry, request->now_ns) == 0)
        continue;
      candidate = score (entry, upstream, request);
      if (best_id == 0 || compare (&candidate, &best_score) > 0)
        {
          best_score = candidate;
          best_id = upstream->id;
        }
    }
  return best_id;
}

static uint64_t
choose_affine (const struct slots *slots,
               const struct placement_request *request)
{
  return best_upstream (slots, request, compare_affine);
}

static uint64_t
choose_least_busy (const struct slots *slots,
                   const struct placement_request *request)
{
  return best_upstream (slots, request, compare_least_busy);
}

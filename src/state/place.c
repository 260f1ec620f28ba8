/**
 * @file place.c
 * Placement policies.
 */
#include "state/place.h"
#include <string.h>
#include <xxhash.h>

#define LOAD_FRESH_NS 2000000000u /* how long a reported load counts */

/* How good an upstream is for a request; compared field by field. */
struct place_score
{
  bool wanted;       /* not where an attempt just failed */
  bool room;         /* its reported load leaves room */
  bool near;         /* in this availability zone */
  uint64_t affinity; /* rendezvous hash of the prefix; 0 for none */
  uint64_t idleness; /* free share, in 1/65536 */
};

typedef int (*place_compare) (const struct place_score *a,
                              const struct place_score *b);

static struct place_score score (const struct slots_entry *entry,
                                 const struct catalog_upstream *upstream,
                                 const struct place_request *request);
static uint64_t best (const struct slots *slots,
                      const struct place_request *request,
                      place_compare compare);
static int compare_affine (const struct place_score *a,
                           const struct place_score *b);
static int compare_least_busy (const struct place_score *a,
                               const struct place_score *b);
static uint64_t choose_affine (const struct slots *slots,
                               const struct place_request *request);
static uint64_t choose_least_busy (const struct slots *slots,
                                   const struct place_request *request);

const struct place_policy place_affine = { "affine", choose_affine };
const struct place_policy place_least_busy
    = { "least_busy", choose_least_busy };

static struct place_score
score (const struct slots_entry *entry,
       const struct catalog_upstream *upstream,
       const struct place_request *request)
{
  struct place_score score = { 0 };
  uint64_t load = entry->busy;
  uint64_t pair[2] = { request->prefix_hash, entry->upstream_id };

  if (entry->reported_ns != 0
      && request->now_ns < entry->reported_ns + LOAD_FRESH_NS
      && entry->reported_load > load)
    load = entry->reported_load;
  score.wanted = entry->upstream_id != request->avoid_upstream_id;
  score.room = load < upstream->slots;
  score.near
      = request->availability_zone != NULL
        && strcmp (upstream->availability_zone, request->availability_zone)
               == 0;
  if (request->prefix_hash != 0)
    score.affinity = XXH3_64bits (pair, sizeof pair) | 1;
  if (score.room)
    score.idleness = ((upstream->slots - load) << 16) / upstream->slots;
  return score;
}

static int
compare_affine (const struct place_score *a, const struct place_score *b)
{
  if (a->wanted != b->wanted)
    return a->wanted ? 1 : -1;
  if (a->room != b->room)
    return a->room ? 1 : -1;
  if (a->affinity != b->affinity)
    return a->affinity > b->affinity ? 1 : -1;
  if (a->near != b->near)
    return a->near ? 1 : -1;
  if (a->idleness != b->idleness)
    return a->idleness > b->idleness ? 1 : -1;
  return 0;
}

static int
compare_least_busy (const struct place_score *a, const struct place_score *b)
{
  if (a->wanted != b->wanted)
    return a->wanted ? 1 : -1;
  if (a->idleness != b->idleness)
    return a->idleness > b->idleness ? 1 : -1;
  return 0;
}

static uint64_t
best (const struct slots *slots, const struct place_request *request,
      place_compare compare)
{
  struct place_score best_score = { 0 };
  uint64_t best_id = 0;
  uint32_t i;

  for (i = 0; i < request->service->upstream_count; i++)
    {
      const struct catalog_upstream *upstream
          = &request->service->upstreams[i];
      const struct slots_entry *entry = slots_find (slots, upstream->id);
      struct place_score candidate;

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
choose_affine (const struct slots *slots, const struct place_request *request)
{
  return best (slots, request, compare_affine);
}

static uint64_t
choose_least_busy (const struct slots *slots,
                   const struct place_request *request)
{
  return best (slots, request, compare_least_busy);
}

/**
 * @file choose.c
 * Upstream selection by estimated prefill time or by slot usage.
 */
#include "state/choose.h"
#include <string.h>
#include <xxhash.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */
/* Age up to which a load reported by an upstream is used; each upstream in use
   sends responses, which carry the report, several times a second. */
#define LOAD_REPORT_TTL_MS 1000
/* Time after its last use during which a prompt part is assumed to be cached:
   the time in which a busy engine fills its cache memory once. */
#define CACHED_TTL_MS 15000
/* Cost of each running request in tokens: it slows down the engine's steps. */
#define RUNNING_COST_TOKENS 60
/* An upstream that this many other instances have ejected is avoided, unless
   an attempt of this instance succeeded a short time ago: a single instance
   may be cut off itself. */
#define PEER_EJECTIONS_MIN   2
#define OWN_SUCCESS_VALID_MS 2000
/* One of this many requests tries an upstream that only others have ejected:
   this instance may reach it. */
#define PEER_EJECTION_TRIALS 16
/* Expected size of the sample from which the least loaded engine is selected.
   Smaller fleets are searched completely. */
#define SAMPLE_SIZE 24
/* Cost in tokens of each rank below the primary engine, so that all instances
   spill over to the same engines. */
#define RANK_COST_TOKENS 100
/* Added to the load of an upstream in another availability zone, in
   thousandths of its slots. */
#define CROSS_ZONE_PERMILLE 100

static bool eligible (const struct registry_upstream *upstream,
                      const struct choose_request *request, bool skip_ejected);
static void choose_eligible (const struct registry *registry,
                             const struct prefix_cache *prefix_cache,
                             const struct choose_request *request,
                             bool skip_ejected, struct choose_result *result);
static bool awaits_turn (const struct registry *registry,
                         const struct choose_request *request);
static bool of_build (const struct registry_upstream *upstream,
                      const struct choose_request *request);
static bool is_excluded (const struct registry_upstream *upstream,
                         const struct choose_request *request);
static void choose_engine (const struct registry *registry,
                           const struct prefix_cache *prefix_cache,
                           const struct choose_request *request,
                           bool skip_ejected, struct choose_result *result);
static void choose_plain (const struct registry *registry,
                          const struct choose_request *request,
                          bool skip_ejected, struct choose_result *result);
static bool avoided (const struct registry_upstream *upstream,
                     uint64_t now_ns);
static uint64_t rendezvous_hash (uint64_t key, uint64_t upstream_id);
static void rank_candidates (const struct registry *registry,
                             const struct choose_request *request);
static void consider_engine (const struct prefix_cache *prefix_cache,
                             const struct choose_request *request,
                             struct registry_upstream *upstream, uint32_t rank,
                             uint64_t *best_cost,
                             struct choose_result *result);
static uint64_t running_cost (const struct registry_upstream *upstream);
static uint64_t load_permille (const struct registry_upstream *upstream,
                               const struct choose_request *request);

void
choose_upstream (const struct registry *registry,
                 const struct prefix_cache *prefix_cache,
                 const struct choose_request *request,
                 struct choose_result *result)
{
  memset (result, 0, sizeof *result);
  choose_eligible (registry, prefix_cache, request, true, result);
  /* If all upstreams failed recently, the cause may lie elsewhere: then
     ejected ones are used too, unless a sound one will have a turn. */
  if (result->upstream == NULL && !awaits_turn (registry, request))
    choose_eligible (registry, prefix_cache, request, false, result);
}

static void
choose_eligible (const struct registry *registry,
                 const struct prefix_cache *prefix_cache,
                 const struct choose_request *request, bool skip_ejected,
                 struct choose_result *result)
{
  if (request->prompt != NULL && request->prompt->part_count > 0)
    choose_engine (registry, prefix_cache, request, skip_ejected, result);
  else
    choose_plain (registry, request, skip_ejected, result);
}

/* Whether an upstream would be used but for its limit. */
static bool
awaits_turn (const struct registry *registry,
             const struct choose_request *request)
{
  const struct registry_upstream *upstream;

  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (upstream->limit.limited && of_build (upstream, request)
        && registry_usable (upstream, request->service_id)
        && !registry_paused (upstream, request->now_ns)
        && !is_excluded (upstream, request)
        && !avoided (upstream, request->now_ns))
      return true;
  return false;
}

static bool
of_build (const struct registry_upstream *upstream,
          const struct choose_request *request)
{
  return request->build == 0 || upstream->build == request->build;
}

static bool
is_excluded (const struct registry_upstream *upstream,
             const struct choose_request *request)
{
  size_t i;

  for (i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == upstream->id)
      return true;
  return false;
}

static bool
eligible (const struct registry_upstream *upstream,
          const struct choose_request *request, bool skip_ejected)
{
  if (!registry_usable (upstream, request->service_id)
      || !of_build (upstream, request)
      || registry_paused (upstream, request->now_ns)
      || !rate_limit_allows (&upstream->limit, request->now_ns)
      || is_excluded (upstream, request))
    return false;
  return !skip_ejected || !avoided (upstream, request->now_ns)
         || (!outlier_ejected (&upstream->outlier, request->now_ns)
             && rendezvous_hash (request->tie_break, upstream->id)
                        % PEER_EJECTION_TRIALS
                    == 0);
}

/* Whether it was ejected, here or by others.  In a large fleet most instances
   have sent a failing upstream nothing yet; one that has ejected it itself
   goes by its own attempts. */
static bool
avoided (const struct registry_upstream *upstream, uint64_t now_ns)
{
  return outlier_ejected (&upstream->outlier, now_ns)
         || (upstream->load.peer_ejections >= PEER_EJECTIONS_MIN
             && upstream->outlier.ejection_end_ns == 0
             && now_ns - upstream->outlier.success_ns
                    > OWN_SUCCESS_VALID_MS * NS_PER_MS);
}

static uint64_t
rendezvous_hash (uint64_t key, uint64_t upstream_id)
{
  const uint64_t pair[2] = { key, upstream_id };

  return XXH3_64bits (pair, sizeof pair);
}

/* Ranks all upstreams again only after the set of usable ones changed. */
static void
rank_candidates (const struct registry *registry,
                 const struct choose_request *request)
{
  struct choose_candidates *candidates = request->candidates;
  uint64_t prefix_hash = prompt_shared_hash (request->prompt);
  uint64_t hashes[CHOOSE_CANDIDATES_MAX];
  const struct registry_upstream *upstream;
  uint64_t hash;
  uint32_t i;

  if (candidates->count > 0 && candidates->generation == registry->generation
      && candidates->build == request->build)
    return;
  candidates->generation = registry->generation;
  candidates->build = request->build;
  candidates->count = 0;
  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (!registry_usable (upstream, request->service_id)
          || !of_build (upstream, request))
        continue;
      hash = rendezvous_hash (prefix_hash, upstream->id);
      if (candidates->count == CHOOSE_CANDIDATES_MAX
          && hash <= hashes[CHOOSE_CANDIDATES_MAX - 1])
        continue;
      if (candidates->count < CHOOSE_CANDIDATES_MAX)
        candidates->count++;
      for (i = candidates->count - 1; i > 0 && hashes[i - 1] < hash; i--)
        {
          hashes[i] = hashes[i - 1];
          candidates->ids[i] = candidates->ids[i - 1];
        }
      hashes[i] = hash;
      candidates->ids[i] = upstream->id;
    }
}

uint64_t
choose_least_loaded (const struct registry *registry, uint64_t service_id,
                     uint64_t now_ns, struct rng *rng)
{
  const uint32_t count = HASH_COUNT (registry->upstreams);
  const struct registry_upstream *upstream;
  uint64_t least = UINT64_MAX;
  uint64_t id = 0;
  uint64_t cost;

  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (!registry_usable (upstream, service_id)
          || registry_paused (upstream, now_ns)
          || !rate_limit_allows (&upstream->limit, now_ns)
          || avoided (upstream, now_ns)
          || (count > SAMPLE_SIZE && rng_below (rng, count) >= SAMPLE_SIZE))
        continue;
      cost = registry_backlog_tokens (upstream) + running_cost (upstream);
      if (cost >= least)
        continue;
      least = cost;
      id = upstream->id;
    }
  return id;
}

static uint64_t
running_cost (const struct registry_upstream *upstream)
{
  return (uint64_t)(upstream->load.running + upstream->load.peer_running)
         * RUNNING_COST_TOKENS;
}

static void
choose_engine (const struct registry *registry,
               const struct prefix_cache *prefix_cache,
               const struct choose_request *request, bool skip_ejected,
               struct choose_result *result)
{
  uint64_t best_cost = UINT64_MAX;
  uint32_t rank = 0;
  uint32_t i;

  rank_candidates (registry, request);
  for (i = 0; i <= request->candidates->count; i++)
    {
      uint64_t id = i < request->candidates->count
                        ? request->candidates->ids[i]
                        : request->least_loaded_id;
      struct registry_upstream *upstream = registry_find (registry, id);

      if (upstream == NULL || !eligible (upstream, request, skip_ejected))
        continue;
      /* A limited engine has the prefix only if it is the first one: turns at
         the others are too few to move prefixes there. */
      if (upstream->limit.limited)
        consider_engine (prefix_cache, request, upstream, i, &best_cost,
                         result);
      else
        consider_engine (prefix_cache, request, upstream, rank++, &best_cost,
                         result);
    }
}

/* Selects the engine if its estimated cost is below the best so far.  The
   primary engine is assumed to have the shared prefix cached, since the first
   request with that prefix was sent there. */
static void
consider_engine (const struct prefix_cache *prefix_cache,
                 const struct choose_request *request,
                 struct registry_upstream *upstream, uint32_t rank,
                 uint64_t *best_cost, struct choose_result *result)
{
  const struct prompt *prompt = request->prompt;
  uint32_t last_tokens = prompt->parts[prompt->part_count - 1].tokens;
  uint32_t cached = prefix_cache_cached_tokens (
      prefix_cache, upstream->id, prompt, CACHED_TTL_MS * NS_PER_MS,
      request->now_ns);
  uint32_t uncached;
  uint64_t cost;

  if (rank == 0 && cached + last_tokens < prompt->input_tokens)
    cached = prompt->input_tokens - last_tokens;
  uncached = cached < prompt->input_tokens ? prompt->input_tokens - cached : 0;
  cost = registry_backlog_tokens (upstream) + uncached
         + (uint64_t)(uncached > last_tokens ? uncached - last_tokens : 0)
               * request->recompute_permille / 1000
         + running_cost (upstream) + (uint64_t)rank * RANK_COST_TOKENS;
  if (cost >= *best_cost)
    return;
  *best_cost = cost;
  result->upstream = upstream;
  result->prefill_tokens = uncached;
  result->backlog_tokens = registry_backlog_tokens (upstream);
  result->primary = rank == 0;
}

static uint64_t
load_permille (const struct registry_upstream *upstream,
               const struct choose_request *request)
{
  const struct registry_load *load = &upstream->load;
  uint64_t busy = load->running + load->peer_running;
  uint64_t reported
      = (uint64_t)load->reported_running + load->reported_waiting;

  if (load->reported_ns != 0
      && request->now_ns - load->reported_ns < LOAD_REPORT_TTL_MS * NS_PER_MS
      && reported > busy)
    busy = reported;
  busy = busy * 1000
         / (upstream->record.slots == 0 ? 1 : upstream->record.slots);
  if (strcmp (upstream->record.availability_zone, request->availability_zone)
      != 0)
    busy += CROSS_ZONE_PERMILLE;
  return busy;
}

static void
choose_plain (const struct registry *registry,
              const struct choose_request *request, bool skip_ejected,
              struct choose_result *result)
{
  struct registry_upstream *upstream;
  uint64_t lowest_load = UINT64_MAX;
  uint64_t highest_hash = 0;

  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      uint64_t hash = rendezvous_hash (request->tie_break, upstream->id);
      uint64_t permille;

      if (!eligible (upstream, request, skip_ejected))
        continue;
      permille = load_permille (upstream, request);
      if (permille > lowest_load
          || (permille == lowest_load && hash <= highest_hash))
        continue;
      lowest_load = permille;
      highest_hash = hash;
      result->upstream = upstream;
    }
}

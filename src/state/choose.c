/**
 * @file choose.c
 * Choice of upstreams.
 */
#include "state/choose.h"
#include <string.h>
#include <xxhash.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */
/* A load that an upstream told counts so long; answers come several times a
   second from each that is in use. */
#define TOLD_FRESH_MS 1000
/* A part is believed kept so long after its last use: the time that a busy
   engine takes to read its memory full once. */
#define KEPT_FRESH_MS 15000
/* Tokens that each running request costs: it slows the engine's steps. */
#define RUNNING_TOKENS 60
/* Tokens for each place that an engine stands behind the home, so that second
   homes are the same ones at every instance. */
#define RANK_TOKENS 100
/* Slots in thousandths that an upstream in another zone must be freer by. */
#define ZONE_PERMILLE 100

static bool usable (const struct roster_upstream *upstream,
                    const struct choose_request *request, bool strict);
static void choose_engine (const struct roster *roster,
                           const struct prefixes *prefixes,
                           const struct choose_request *request, bool strict,
                           struct choose_result *result);
static void choose_plain (const struct roster *roster,
                          const struct choose_request *request, bool strict,
                          struct choose_result *result);
static uint64_t order_of (uint64_t home, uint64_t upstream_id);
static void find_homes (const struct roster *roster,
                        const struct choose_request *request);
static void consider (const struct prefixes *prefixes,
                      const struct choose_request *request,
                      struct roster_upstream *upstream, uint32_t rank,
                      uint64_t *best_cost, struct choose_result *result);
static uint64_t running_cost (const struct roster_upstream *upstream);
static uint64_t taken_permille (const struct roster_upstream *upstream,
                                const struct choose_request *request);

void
choose_upstream (const struct roster *roster, const struct prefixes *prefixes,
                 const struct choose_request *request,
                 struct choose_result *result)
{
  bool engine = request->prompt != NULL && request->prompt->part_count > 0;
  int strict;

  memset (result, 0, sizeof *result);
  /* When all have failed of late, the fault may not be theirs. */
  for (strict = 1; strict >= 0 && result->upstream == NULL; strict--)
    if (engine)
      choose_engine (roster, prefixes, request, strict != 0, result);
    else
      choose_plain (roster, request, strict != 0, result);
}

static bool
usable (const struct roster_upstream *upstream,
        const struct choose_request *request, bool strict)
{
  size_t i;

  if (!roster_usable (upstream, request->service_id))
    return false;
  for (i = 0; i < request->avoid_count; i++)
    if (request->avoid[i] == upstream->id)
      return false;
  return !strict || !outlier_avoided (&upstream->outlier, request->now_ns);
}

static uint64_t
order_of (uint64_t home, uint64_t upstream_id)
{
  const uint64_t pair[2] = { home, upstream_id };

  return XXH3_64bits (pair, sizeof pair);
}

/* Only when upstreams have come or gone are all looked at. */
static void
find_homes (const struct roster *roster, const struct choose_request *request)
{
  struct choose_homes *homes = request->homes;
  uint64_t home = prompt_home (request->prompt);
  uint64_t orders[CHOOSE_HOMES_MAX];
  const struct roster_upstream *upstream;
  uint64_t order;
  uint32_t i;

  if (homes->count > 0 && homes->generation == roster->generation)
    return;
  homes->generation = roster->generation;
  homes->count = 0;
  for (upstream = roster->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (!roster_usable (upstream, request->service_id))
        continue;
      order = order_of (home, upstream->id);
      if (homes->count == CHOOSE_HOMES_MAX
          && order <= orders[CHOOSE_HOMES_MAX - 1])
        continue;
      if (homes->count < CHOOSE_HOMES_MAX)
        homes->count++;
      for (i = homes->count - 1; i > 0 && orders[i - 1] < order; i--)
        {
          orders[i] = orders[i - 1];
          homes->ids[i] = homes->ids[i - 1];
        }
      orders[i] = order;
      homes->ids[i] = upstream->id;
    }
}

uint64_t
choose_idlest (const struct roster *roster, uint64_t service_id,
               uint64_t now_ns)
{
  const struct roster_upstream *upstream;
  uint64_t least = UINT64_MAX;
  uint64_t id = 0;
  uint64_t cost;

  for (upstream = roster->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (!roster_usable (upstream, service_id)
          || outlier_avoided (&upstream->outlier, now_ns))
        continue;
      cost = roster_ahead_tokens (upstream) + running_cost (upstream);
      if (cost >= least)
        continue;
      least = cost;
      id = upstream->id;
    }
  return id;
}

static uint64_t
running_cost (const struct roster_upstream *upstream)
{
  return (uint64_t)(upstream->load.running + upstream->load.peer_running)
         * RUNNING_TOKENS;
}

static void
choose_engine (const struct roster *roster, const struct prefixes *prefixes,
               const struct choose_request *request, bool strict,
               struct choose_result *result)
{
  uint64_t best_cost = UINT64_MAX;
  uint32_t rank = 0;
  uint32_t i;

  find_homes (roster, request);
  for (i = 0; i <= request->homes->count; i++)
    {
      uint64_t id = i < request->homes->count ? request->homes->ids[i]
                                              : request->idlest_id;
      struct roster_upstream *upstream = roster_find (roster, id);

      if (upstream == NULL || !usable (upstream, request, strict))
        continue;
      consider (prefixes, request, upstream, rank++, &best_cost, result);
    }
}

/* Takes an engine that would begin the prompt sooner, all told.  The first
   home is taken to keep what is shared: whoever came first went there. */
static void
consider (const struct prefixes *prefixes,
          const struct choose_request *request,
          struct roster_upstream *upstream, uint32_t rank, uint64_t *best_cost,
          struct choose_result *result)
{
  const struct prompt *prompt = request->prompt;
  uint32_t last = prompt->parts[prompt->part_count - 1].tokens;
  uint32_t kept = prefixes_kept (prefixes, upstream->id, prompt,
                                 KEPT_FRESH_MS * NS_PER_MS, request->now_ns);
  uint32_t unread;
  uint64_t cost;

  if (rank == 0 && kept + last < prompt->input_tokens)
    kept = prompt->input_tokens - last;
  unread = kept < prompt->input_tokens ? prompt->input_tokens - kept : 0;
  cost = roster_ahead_tokens (upstream) + unread
         + (uint64_t)(unread > last ? unread - last : 0)
               * request->reread_permille / 1000
         + running_cost (upstream) + (uint64_t)rank * RANK_TOKENS;
  if (cost >= *best_cost)
    return;
  *best_cost = cost;
  result->upstream = upstream;
  result->unread_tokens = unread;
  result->ahead_tokens = roster_ahead_tokens (upstream);
  result->home = rank == 0;
}

static uint64_t
taken_permille (const struct roster_upstream *upstream,
                const struct choose_request *request)
{
  const struct roster_load *load = &upstream->load;
  uint64_t taken = load->running + load->peer_running;
  uint64_t told = (uint64_t)load->told_running + load->told_waiting;

  if (load->told_ns != 0
      && request->now_ns - load->told_ns < TOLD_FRESH_MS * NS_PER_MS
      && told > taken)
    taken = told;
  taken = taken * 1000
          / (upstream->record.slots == 0 ? 1 : upstream->record.slots);
  if (strcmp (upstream->record.availability_zone, request->availability_zone)
      != 0)
    taken += ZONE_PERMILLE;
  return taken;
}

static void
choose_plain (const struct roster *roster,
              const struct choose_request *request, bool strict,
              struct choose_result *result)
{
  struct roster_upstream *upstream;
  uint64_t best_taken = UINT64_MAX;
  uint64_t best_order = 0;

  for (upstream = roster->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      uint64_t order = order_of (request->draw, upstream->id);
      uint64_t taken;

      if (!usable (upstream, request, strict))
        continue;
      taken = taken_permille (upstream, request);
      if (taken > best_taken || (taken == best_taken && order <= best_order))
        continue;
      best_taken = taken;
      best_order = order;
      result->upstream = upstream;
    }
}

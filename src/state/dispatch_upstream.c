/**
 * @file dispatch_upstream.c
 * Upstream state kept by the dispatcher: backoff after connect failures, and
 * draining as reported by the upstream itself.
 */
#include "state/dispatch_int.h"

#define NS_PER_MS         1000000ULL
#define BACKOFF_SHIFT_MAX 6 /**< doublings of the backoff */

static void set_drained_until (struct dispatch *dispatch, uint64_t upstream_id,
                               uint64_t until_ns);

bool
dispatch_service_usable (const struct dispatch *dispatch,
                         const struct catalog_service *service)
{
  const struct slots_entry *entry;
  uint32_t i;

  for (i = 0; i < service->upstream_count; i++)
    {
      if (service->upstreams[i].draining || service->upstreams[i].slots == 0)
        continue;
      entry = slots_find (dispatch->config.slots, service->upstreams[i].id);
      if (entry == NULL || !entry->draining)
        return true;
    }
  return false;
}

void
dispatch_record_failure (struct dispatch *dispatch, uint64_t upstream_id,
                         bool connected, bool draining, uint64_t now_ns)
{
  struct slots_entry *entry = slots_find (dispatch->config.slots, upstream_id);
  uint32_t shift;
  uint64_t wait_ms;

  if (entry == NULL)
    return;
  if (draining)
    {
      entry->draining = true;
      set_drained_until (dispatch, upstream_id,
                         now_ns + DISPATCH_DRAIN_RETRY_MS * NS_PER_MS);
      return;
    }
  if (connected)
    return;
  shift = entry->failures < BACKOFF_SHIFT_MAX ? entry->failures
                                              : BACKOFF_SHIFT_MAX;
  wait_ms = (uint64_t)DISPATCH_BACKOFF_MIN_MS << shift;
  if (wait_ms > DISPATCH_BACKOFF_MAX_MS)
    wait_ms = DISPATCH_BACKOFF_MAX_MS;
  entry->failures++;
  entry->backoff_end_ns = now_ns + wait_ms * NS_PER_MS;
}

void
dispatch_record_response (struct dispatch *dispatch, uint64_t upstream_id)
{
  struct slots_entry *entry = slots_find (dispatch->config.slots, upstream_id);

  if (entry == NULL)
    return;
  entry->failures = 0;
  entry->backoff_end_ns = 0;
}

/* A drained upstream may have been replaced by another at the same address,
   which only an attempt can reveal.  If it is still draining, it rejects the
   attempt without executing the request. */
void
dispatch_retry_drained (struct dispatch *dispatch, uint64_t now_ns)
{
  struct dispatch_drained *drained;
  struct slots_entry *entry;

  for (drained = dispatch->drained; drained != NULL;
       drained = drained->hh.next)
    {
      if (drained->until_ns > now_ns)
        continue;
      entry = slots_find (dispatch->config.slots, drained->upstream_id);
      if (entry != NULL)
        entry->draining = false;
      drained->until_ns = UINT64_MAX;
    }
}

static void
set_drained_until (struct dispatch *dispatch, uint64_t upstream_id,
                   uint64_t until_ns)
{
  struct dispatch_drained *drained;

  HASH_FIND (hh, dispatch->drained, &upstream_id, sizeof (upstream_id),
             drained);
  if (drained == NULL)
    {
      drained = calloc (1, sizeof (*drained));
      if (drained == NULL)
        return;
      drained->upstream_id = upstream_id;
      HASH_ADD (hh, dispatch->drained, upstream_id, sizeof (upstream_id),
                drained);
    }
  drained->until_ns = until_ns;
}

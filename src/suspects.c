/**
 * @file suspects.c
 * Refusal of requests under which upstreams crash.
 */
#include "suspects.h"
#include "peers.h"
#include "request_int.h"
#include "state/err.h"
#include "state/request_digest.h"
#include "transport/log.h"
#include <inttypes.h>
#include <stdio.h>

#define ROWS_MAX           256 /* quarantine rows in a message; others follow */
#define EXPIRY_INTERVAL_MS 10000

static uint64_t request_digest_of (struct request *request);
static bool take_trial (struct request *request,
                        struct quarantine_entry *entry);

static uint64_t
request_digest_of (struct request *request)
{
  const struct request_digest_input input = {
    .method = httpd_method (request->reply.http),
    .path = request->path,
    .customer_id = request->customer_id,
    .body = request->body,
    .body_size = request->body_size,
    .model = request->profile,
  };

  if (request->digest == 0)
    request->digest = request_digest (&input);
  return request->digest;
}

bool
suspects_admit (struct request *request)
{
  struct quarantine *quarantine = &request->router->quarantine;
  struct quarantine_entry *entry;
  uint64_t digest;

  if (quarantine->request_count == 0)
    return true;
  digest = request_digest_of (request);
  entry = quarantine_find_held (quarantine, QUARANTINE_REQUEST, &digest, 1,
                                router_now_ns (request->router));
  return entry == NULL || take_trial (request, entry);
}

/* One instance of the fleet decides on the trials of a request; which one
   depends on its digest. */
static bool
take_trial (struct request *request, struct quarantine_entry *entry)
{
  struct router *router = request->router;
  uint64_t now_ns = router_now_ns (router);
  char digest[17];

  if (!quarantine_trial_due (entry, now_ns)
      || !peers_owns (router, entry->key.subject))
    return false;
  quarantine_start_trial (&router->quarantine, entry, false, now_ns);
  request->trial = true;
  snprintf (digest, sizeof digest, "%" PRIx64, entry->key.subject);
  LOG (LOG_REQUEST_TRIAL, request->id, LOG_S ("digest", digest),
       LOG_U ("trials", entry->trials));
  return true;
}

bool
suspects_attempt_failed (struct request *request, int error)
{
  struct router *router = request->router;
  const struct attempt *attempt
      = dispatch_attempt (router->dispatch, request_handle (request));
  uint64_t digest;

  if ((error != ERR_RESET && error != ERR_TRUNCATED) || attempt == NULL
      || attempt->step < ATTEMPT_SENDING || attempt->step >= ATTEMPT_RESPONDING
      || request->reply.http == NULL)
    return !request->trial;
  digest = request_digest_of (request);
  quarantine_record_crash (&router->quarantine, QUARANTINE_REQUEST, &digest, 1,
                           request->upstream_id, router_now_ns (router));
  return !request->trial
         && quarantine_crashes (&router->quarantine, QUARANTINE_REQUEST,
                                &digest, 1)
                < QUARANTINE_REQUEST_CRASH_LIMIT;
}

void
suspects_completed (struct request *request)
{
  uint64_t digest;

  if (request->reply.http == NULL)
    return;
  digest = request_digest_of (request);
  quarantine_record_response (&request->router->quarantine, QUARANTINE_REQUEST,
                              &digest, 1, router_now_ns (request->router));
}

void
suspects_exchange (struct router *router, struct fleet *fleet, uint64_t now_ns)
{
  struct quarantine_row rows[ROWS_MAX];
  struct message message = { .kind = MESSAGE_LOAD };

  if (now_ns >= router->suspects_expiry_ns)
    {
      quarantine_expire (&router->quarantine, now_ns);
      router->suspects_expiry_ns
          = now_ns + EXPIRY_INTERVAL_MS * CLOCK_NS_PER_MS;
    }
  message.u.load.suspects = rows;
  message.u.load.suspect_count = quarantine_rows (
      &router->quarantine, router->suspects_sent >= router->suspects_new_until,
      &router->suspects_sent, rows, ROWS_MAX);
  if (message.u.load.suspect_count > 0)
    fleet_broadcast (fleet, &message);
}

void
suspects_receive (struct router *router, const struct message_load *load,
                  uint64_t now_ns)
{
  size_t i;

  for (i = 0; i < load->suspect_count; i++)
    quarantine_merge (&router->quarantine, &load->suspects[i], true, now_ns);
}

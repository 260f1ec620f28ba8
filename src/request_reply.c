/**
 * @file request_reply.c
 * Replies to a client: adds the headers of the router, and sends refusals.
 */
#include "request_int.h"
#include <stdlib.h>
#include <string.h>

static void add_header (evhtp_request_t *http, const char *name,
                        const char *value);

void
request_reply_start (struct request *request, int status,
                     const struct upstream_header *headers, size_t count)
{
  const struct reply_head head = {
    .status = status,
    .headers = headers,
    .count = count,
    .is_forwarded = client_header_is_forwarded,
    .buffered_max_bytes = router_response_bytes (request->router),
  };

  if (request->router->draining)
    evhtp_request_disable_flag (request->reply.http, EVHTP_REQ_FLAG_KEEPALIVE);
  reply_start (&request->reply, &head);
  reply_add_header (&request->reply, CLIENT_HEADER_REQUEST_ID, request->id);
  reply_send_head (&request->reply);
}

void
request_reply_reset (struct request *request)
{
  if (request->reply.http == NULL || reply_started (&request->reply))
    return;
  reply_reset (&request->reply);
  memset (&request->usage, 0, sizeof (request->usage));
}

void
request_reply_refuse (evhtp_request_t *http, const char *request_id,
                      enum refusal refusal, enum verdict verdict)
{
  const struct refusal_info *info = refusal_info (refusal);
  char *body = client_refusal_body (refusal, verdict, request_id);
  char seconds[8];

  add_header (http, "Content-Type", "application/json");
  add_header (http, CLIENT_HEADER_VERDICT, verdict_name (verdict));
  add_header (http, CLIENT_HEADER_REQUEST_ID, request_id);
  if (info->retry_after_s > 0)
    {
      snprintf (seconds, sizeof (seconds), "%u", info->retry_after_s);
      add_header (http, "Retry-After", seconds);
    }
  if (body != NULL)
    evbuffer_add (http->buffer_out, body, strlen (body));
  free (body);
  evhtp_send_reply (http, info->status);
}

static void
add_header (evhtp_request_t *http, const char *name, const char *value)
{
  evhtp_headers_add_header (http->headers_out,
                            evhtp_header_new (name, value, 1, 1));
}

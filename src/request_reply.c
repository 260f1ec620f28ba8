/**
 * @file request_reply.c
 * The reply to a client.  A response of a known, moderate length is held
 * until it is whole, so that a failure in its middle can still be retried or
 * refused by word; others are streamed.
 */
#include "request_int.h"
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static void add_header (evhtp_request_t *http, const char *name,
                        const char *value);
static enum request_reply choose_reply (const struct request *request,
                                        int status,
                                        const struct upstream_header *headers,
                                        size_t count);

void
request_reply_start (struct request *request, int status,
                     const struct upstream_header *headers, size_t count)
{
  evhtp_request_t *http = request->http;
  bool body_absent = http->method == htp_method_HEAD;
  size_t i;

  if (request->router->draining)
    evhtp_request_disable_flag (http, EVHTP_REQ_FLAG_KEEPALIVE);
  request->reply = choose_reply (request, status, headers, count);
  request->status = status;
  for (i = 0; i < count; i++)
    {
      if (client_header_passes (headers[i].name)
          || (strcasecmp (headers[i].name, "Content-Length") == 0
              && (body_absent || request->reply == REQUEST_REPLY_LENGTH)))
        add_header (http, headers[i].name, headers[i].value);
    }
  add_header (http, CLIENT_HEADER_REQUEST_ID, request->id);
  if (request->reply == REQUEST_REPLY_LENGTH)
    evhtp_send_reply_start (http, (evhtp_res)status);
  else if (request->reply == REQUEST_REPLY_CHUNKED)
    evhtp_send_reply_chunk_start (http, (evhtp_res)status);
}

static enum request_reply
choose_reply (const struct request *request, int status,
              const struct upstream_header *headers, size_t count)
{
  uint32_t held_max
      = request->router->settings->router->limits.response_buffer_bytes;
  size_t i;

  if (status == 204 || status == 304
      || request->http->method == htp_method_HEAD)
    return REQUEST_REPLY_HELD;
  for (i = 0; i < count; i++)
    if (strcasecmp (headers[i].name, "Content-Length") == 0)
      return strtoull (headers[i].value, NULL, 10) <= held_max
                 ? REQUEST_REPLY_HELD
                 : REQUEST_REPLY_LENGTH;
  return REQUEST_REPLY_CHUNKED;
}

void
request_reply_reset (struct request *request)
{
  evhtp_request_t *http = request->http;
  evhtp_header_t *header;

  if (http == NULL || request_reply_started (request))
    return;
  while ((header = TAILQ_FIRST (http->headers_out)) != NULL)
    evhtp_header_rm_and_free (http->headers_out, header);
  evbuffer_drain (http->buffer_out, evbuffer_get_length (http->buffer_out));
  request->reply = REQUEST_REPLY_NONE;
  memset (&request->usage, 0, sizeof (request->usage));
}

void
request_reply_body (struct request *request, struct evbuffer *data)
{
  size_t size = evbuffer_get_length (data);

  switch (request->reply)
    {
    case REQUEST_REPLY_HELD:
      evbuffer_add_buffer (request->http->buffer_out, data);
      break;
    case REQUEST_REPLY_LENGTH:
      request->delivered_bytes += size;
      httpd_cork (request->http);
      evhtp_send_reply_body (request->http, data);
      httpd_uncork (request->http);
      break;
    case REQUEST_REPLY_CHUNKED:
      request->delivered_bytes += size;
      httpd_cork (request->http);
      evhtp_send_reply_chunk (request->http, data);
      httpd_uncork (request->http);
      break;
    case REQUEST_REPLY_NONE:
    case REQUEST_REPLY_OVER:
      break;
    }
  evbuffer_drain (data, evbuffer_get_length (data));
}

void
request_reply_finish (struct request *request)
{
  switch (request->reply)
    {
    case REQUEST_REPLY_HELD:
      request->delivered_bytes
          = evbuffer_get_length (request->http->buffer_out);
      evhtp_send_reply (request->http, (evhtp_res)request->status);
      break;
    case REQUEST_REPLY_LENGTH:
      httpd_uncork_last (request->http);
      evhtp_send_reply_end (request->http);
      break;
    case REQUEST_REPLY_CHUNKED:
      httpd_uncork_last (request->http);
      evhtp_send_reply_chunk_end (request->http);
      break;
    case REQUEST_REPLY_NONE:
    case REQUEST_REPLY_OVER:
      return;
    }
  request_reply_release (request);
}

void
request_reply_abort (struct request *request)
{
  evhtp_request_t *http = request->http;

  request->http = NULL;
  request->reply = REQUEST_REPLY_OVER;
  httpd_abort (http);
}

bool
request_reply_started (const struct request *request)
{
  return request->reply == REQUEST_REPLY_LENGTH
         || request->reply == REQUEST_REPLY_CHUNKED;
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

void
request_reply_release (struct request *request)
{
  evhtp_request_t *http = request->http;

  request->http = NULL;
  request->reply = REQUEST_REPLY_OVER;
  if (request->router->draining)
    evhtp_request_disable_flag (http, EVHTP_REQ_FLAG_KEEPALIVE);
  httpd_bind (http, NULL);
  httpd_release (http);
}

static void
add_header (evhtp_request_t *http, const char *name, const char *value)
{
  evhtp_headers_add_header (http->headers_out,
                            evhtp_header_new (name, value, 1, 1));
}

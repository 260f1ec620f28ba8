/**
 * @file reply.c
 * Forwards upstream responses to clients.
 */
#include "transport/reply.h"
#include "state/err.h"
#include <stdlib.h>
#include <strings.h>

/* Bytes of a part below which it is copied: what is moved keeps a buffer of
   its own, of a kilobyte or more. */
#define COPY_MAX 2048

static enum reply_mode choose_mode (struct reply *reply,
                                    const struct reply_head *head);
static void add_part (struct evbuffer *out, struct evbuffer *data);
static void add_chunk (evhtp_request_t *http, struct evbuffer *out,
                       struct evbuffer *data);

void
reply_start (struct reply *reply, const struct reply_head *head)
{
  bool body_absent = reply->http->method == htp_method_HEAD;
  size_t i;

  reply->mode = choose_mode (reply, head);
  reply->status = head->status;
  for (i = 0; i < head->count; i++)
    {
      const struct upstream_header *header = &head->headers[i];

      if (head->is_forwarded (header->name)
          || (strcasecmp (header->name, "Content-Length") == 0
              && (body_absent || reply->mode == REPLY_LENGTH)))
        reply_add_header (reply, header->name, header->value);
    }
}

static enum reply_mode
choose_mode (struct reply *reply, const struct reply_head *head)
{
  const char *length;

  if (head->status == 204 || head->status == 304
      || reply->http->method == htp_method_HEAD)
    return REPLY_BUFFERED;
  length = upstream_header_find (head->headers, head->count, "Content-Length");
  if (length == NULL)
    return REPLY_CHUNKED;
  reply->length = strtoull (length, NULL, 10);
  return reply->length <= head->buffered_max_bytes ? REPLY_BUFFERED
                                                   : REPLY_LENGTH;
}

void
reply_add_header (struct reply *reply, const char *name, const char *value)
{
  evhtp_headers_add_header (reply->http->headers_out,
                            evhtp_header_new (name, value, 1, 1));
}

void
reply_send_head (struct reply *reply)
{
  if (reply->head_sent)
    return;
  reply->head_sent
      = reply->mode == REPLY_LENGTH || reply->mode == REPLY_CHUNKED;
  if (reply->mode == REPLY_LENGTH)
    evhtp_send_reply_start (reply->http, (evhtp_res)reply->status);
  else if (reply->mode == REPLY_CHUNKED)
    evhtp_send_reply_chunk_start (reply->http, (evhtp_res)reply->status);
}

void
reply_reset (struct reply *reply)
{
  evhtp_request_t *http = reply->http;
  evhtp_header_t *header;

  if (http == NULL || reply_started (reply))
    return;
  while ((header = TAILQ_FIRST (http->headers_out)) != NULL)
    evhtp_header_rm_and_free (http->headers_out, header);
  evbuffer_drain (http->buffer_out, evbuffer_get_length (http->buffer_out));
  reply->mode = REPLY_NONE;
}

int
reply_send_body (struct reply *reply, struct evbuffer *data)
{
  size_t size = evbuffer_get_length (data);
  struct evbuffer *out
      = reply->mode == REPLY_LENGTH || reply->mode == REPLY_CHUNKED
            ? bufferevent_get_output (reply->http->conn->bev)
            : NULL;

  if (reply->mode == REPLY_LENGTH
      && size > reply->length - reply->delivered_bytes)
    {
      reply->overrun = true;
      evbuffer_drain (data, size);
      return ERR_TOO_LARGE;
    }
  switch (reply->mode)
    {
    case REPLY_BUFFERED:
      add_part (reply->http->buffer_out, data);
      break;
    case REPLY_LENGTH:
      reply->delivered_bytes += size;
      httpd_cork (reply->http);
      reply_send_head (reply);
      add_part (out, data);
      httpd_uncork (reply->http);
      break;
    case REPLY_CHUNKED:
      reply->delivered_bytes += size;
      httpd_cork (reply->http);
      reply_send_head (reply);
      add_chunk (reply->http, out, data);
      httpd_uncork (reply->http);
      break;
    case REPLY_NONE:
    case REPLY_ENDED:
      break;
    }
  evbuffer_drain (data, evbuffer_get_length (data));
  return 0;
}

static void
add_part (struct evbuffer *out, struct evbuffer *data)
{
  const size_t size = evbuffer_get_length (data);

  if (size >= COPY_MAX
      || evbuffer_add (out, evbuffer_pullup (data, -1), size) != 0)
    evbuffer_add_buffer (out, data);
}

/* A client of HTTP/1.0 gets no chunks. */
static void
add_chunk (evhtp_request_t *http, struct evbuffer *out, struct evbuffer *data)
{
  const bool chunked = (http->flags & EVHTP_REQ_FLAG_CHUNKED) != 0;
  const size_t size = evbuffer_get_length (data);

  if (size == 0)
    return;
  if (chunked)
    evbuffer_add_printf (out, "%zx\r\n", size);
  add_part (out, data);
  if (chunked)
    evbuffer_add (out, "\r\n", 2);
}

bool
reply_length_kept (const struct reply *reply)
{
  return reply->mode != REPLY_LENGTH
         || (!reply->overrun && reply->delivered_bytes == reply->length);
}

int
reply_finish (struct reply *reply, bool last)
{
  if (!reply_length_kept (reply))
    {
      reply_abort (reply);
      return ERR_TRUNCATED;
    }
  reply_send_head (reply);
  switch (reply->mode)
    {
    case REPLY_BUFFERED:
      reply->delivered_bytes = evbuffer_get_length (reply->http->buffer_out);
      if (last)
        evhtp_request_disable_flag (reply->http, EVHTP_REQ_FLAG_KEEPALIVE);
      evhtp_send_reply (reply->http, (evhtp_res)reply->status);
      break;
    case REPLY_LENGTH:
      httpd_enable_write (reply->http);
      evhtp_send_reply_end (reply->http);
      break;
    case REPLY_CHUNKED:
      httpd_enable_write (reply->http);
      evhtp_send_reply_chunk_end (reply->http);
      break;
    case REPLY_NONE:
    case REPLY_ENDED:
      return 0;
    }
  /* A head that was sent has promised whether the connection is kept. */
  reply_release (reply, false);
  return 0;
}

void
reply_release (struct reply *reply, bool last)
{
  evhtp_request_t *http = reply->http;

  reply->http = NULL;
  reply->mode = REPLY_ENDED;
  if (last)
    evhtp_request_disable_flag (http, EVHTP_REQ_FLAG_KEEPALIVE);
  httpd_set_request_user (http, NULL);
  httpd_resume (http);
}

void
reply_abort (struct reply *reply)
{
  evhtp_request_t *http = reply->http;

  reply->http = NULL;
  reply->mode = REPLY_ENDED;
  httpd_abort (http);
}

bool
reply_started (const struct reply *reply)
{
  return reply->head_sent
         && (reply->mode == REPLY_LENGTH || reply->mode == REPLY_CHUNKED);
}

/**
 * @file kvhttp_call.c
 * Calls of the HTTP key-value store: rate limit, request and response.
 */
#include "protocol/kvstore_codec.h"
#include "protocol/object.h"
#include "state/digits.h"
#include "state/err.h"
#include "transport/kvhttp_int.h"
#include "transport/log.h"
#include <stdio.h>
#include <string.h>

#define LOGGED_VALUE_SIZE     81         /* bytes */
#define MICRO_TOKENS_PER_CALL 1000000ULL /* cost of a call */

static void on_finished (struct httpcall *base, int error, int status,
                         const struct evkeyvalq *headers, const char *body,
                         size_t size);
static uint64_t read_index (struct kvhttp_call *call, const char *text);

int
kvhttp_take_token (struct kvhttp *store)
{
  uint64_t now_ns = clock_now_ns (store->config.clock);
  uint64_t rate = store->config.calls_per_second_max;
  uint64_t added = (now_ns - store->refilled_ns) / 1000 * rate;

  store->refilled_ns = now_ns;
  store->micro_tokens += added;
  if (store->micro_tokens > rate * MICRO_TOKENS_PER_CALL)
    store->micro_tokens = rate * MICRO_TOKENS_PER_CALL;
  if (store->micro_tokens < MICRO_TOKENS_PER_CALL)
    {
      store->kvstore.counters.rate_limited++;
      return ERR_RATE_LIMITED;
    }
  store->micro_tokens -= MICRO_TOKENS_PER_CALL;
  return 0;
}

struct kvhttp_call *
kvhttp_call_new (struct kvhttp *store)
{
  struct kvhttp_call *call = httpcall_new (&store->server, sizeof *call);

  if (call == NULL)
    return NULL;
  call->store = store;
  call->base.finished = on_finished;
  return call;
}

int
kvhttp_call_start (struct kvhttp_call *call, enum evhttp_cmd_type method,
                   const char *path, const char *body, size_t size,
                   uint32_t timeout_ms)
{
  const struct httpcall_request request = {
    .method = method,
    .path = path,
    .body = body,
    .body_size = size,
    .timeout_ms = timeout_ms,
  };

  return httpcall_start (&call->base, &request);
}

static void
on_finished (struct httpcall *base, int error, int status,
             const struct evkeyvalq *headers, const char *body, size_t size)
{
  struct kvhttp_call *call = (struct kvhttp_call *)base;
  const char *index
      = headers == NULL
            ? NULL
            : evhttp_find_header (headers, KVSTORE_CODEC_INDEX_HEADER);

  if (error != 0 || status / 100 == 5)
    call->store->kvstore.counters.failures++;
  call->finished (call, error, status,
                  index == NULL ? 0 : read_index (call, index), body, size);
}

static uint64_t
read_index (struct kvhttp_call *call, const char *text)
{
  struct digits digits;
  uint64_t index = 0;

  if (digits_parse (&digits, text, strlen (text)) == 0
      && digits_to_u64 (&digits, &index) == 0 && index <= OBJECT_INDEX_MAX)
    return index;
  call->index_unreadable = true;
  kvhttp_report_unreadable (call->store, KVSTORE_CODEC_INDEX_HEADER, text);
  return 0;
}

void
kvhttp_report_unreadable (struct kvhttp *store, const char *field,
                          const char *value)
{
  char text[LOGGED_VALUE_SIZE];

  store->kvstore.counters.unreadable++;
  snprintf (text, sizeof text, "%s", value);
  LOG (LOG_STORE_RESPONSE_UNREADABLE, NULL, LOG_S ("field", field),
       LOG_S ("value", text));
}

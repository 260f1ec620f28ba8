/**
 * @file test_response_fuzz.c
 * Compares what a client gets of random and damaged responses of an upstream,
 * which arrive in parts, with what a strict reader of RFC 9112 understands.
 * usage: test_response_fuzz [RESPONSES [SEED]]
 */
#include "state/rng.h"
#include "support/gatefixture.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

#define RESPONSES_DEFAULT 4000
#define SEED_DEFAULT      1
#define RESPONSE_MAX      2048 /**< bytes */
#define OWN_ID            "id-1"
#define ID_HEADER         "X-Attempt-Id: id-1"
#define OWN_SIGNATURE     "sig-a"
#define TOKEN_CHARACTERS                                                      \
  "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"                       \
  "abcdefghijklmnopqrstuvwxyz"

/** What a reader has understood. */
struct message
{
  int status;    /**< 0: no complete and valid head */
  bool complete; /**< the body is, and well formed */
  char body[RESPONSE_MAX];
  size_t size;
  bool is_own; /**< it has the identifier and the signature, no refusal */
};

static unsigned long response_count = RESPONSES_DEFAULT;
static uint64_t seed = SEED_DEFAULT;

/* Generating responses. */

static const char *const status_lines[] = {
  "HTTP/1.1 200 OK",  "HTTP/1.1 200 OK",  "HTTP/1.1 200 OK",
  "HTTP/1.1 200 OK",  "HTTP/1.1 200 OK",  "HTTP/1.1 200",
  "HTTP/1.1 201 Yes", "HTTP/1.1 404 No",  "HTTP/1.1 500 Failed",
  "HTTP/1.1 20 OK",   "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK",
  "HTTP/11 200 OK",   "200 OK",           "HTTP/1.1\t200 OK",
};

static const char *const extra_headers[] = {
  "X-A: b",
  "X-A:b",
  "X-A:",
  "X-A: b ",
  "X-A : b",
  "X-A\t: b",
  " X-A: b",
  "X-A",
  ": b",
  "X-A: \x80\xff",
  "X-A: b\x01",
  "X-(A): b",
  "Content-Length : 3",
  "Content-Length: 3",
  "Content-Length: 0",
  "Content-Length: -1",
  "Content-Length: 18446744073709551616",
  "Transfer-Encoding: chunked",
  "Transfer-Encoding : chunked",
  "Transfer-Encoding: gzip",
  "Transfer-Encoding: chunked, chunked",
  ID_HEADER,
  "X-Attempt-Id: other",
  "X-Not-Executed: 1",
};

static const char *const chunk_sizes[] = {
  "0", "00", "1",    "fffffffffffffffff", "10000000000000000", "+1", "-1", "x",
  "",  "1 ", "1;a=b"
};

static const char *
pick (struct rng *rng, const char *const *list, size_t count)
{
  return list[rng_below (rng, count)];
}

static void
append (char *text, const char *part)
{
  const size_t used = strlen (text);

  snprintf (text + used, RESPONSE_MAX - used, "%s", part);
}

static void
append_line (char *text, const char *line)
{
  append (text, line);
  append (text, "\r\n");
}

/* Bytes without a zero, so that texts can be strings. */
static void
append_bytes (struct rng *rng, char *text, size_t count)
{
  size_t used = strlen (text);

  while (count-- > 0 && used < RESPONSE_MAX - 1)
    text[used++] = (char)(1 + rng_below (rng, 255));
  text[used] = '\0';
}

static void
append_chunks (struct rng *rng, char *text)
{
  unsigned int chunks = (unsigned int)rng_below (rng, 4);
  char size_text[24];
  size_t size;

  while (chunks-- > 0)
    {
      size = 1 + rng_below (rng, 20);
      snprintf (size_text, sizeof size_text, "%zx", size);
      append_line (text, rng_below (rng, 20) == 0
                             ? pick (rng, chunk_sizes, COUNT (chunk_sizes))
                             : size_text);
      append_bytes (rng, text, size);
      append (text, "\r\n");
    }
  if (rng_below (rng, 10) > 0)
    append (text, "0\r\n");
  if (rng_below (rng, 10) == 0)
    append (text, "X-Trailer: a\r\n");
  append (text, "\r\n");
}

/* Puts in, takes out or changes a byte. */
static void
damage (struct rng *rng, char *text)
{
  static const char bytes[] = " \t\r\n:;,0\x7f\x80";
  const size_t size = strlen (text);
  const size_t at = rng_below (rng, size);
  const char byte = bytes[rng_below (rng, sizeof bytes - 1)];

  switch (rng_below (rng, 3))
    {
    case 0:
      if (size + 1 < RESPONSE_MAX)
        memmove (text + at + 1, text + at, size - at + 1);
      text[at] = byte;
      break;
    case 1:
      memmove (text + at, text + at + 1, size - at);
      break;
    default:
      text[at] = byte;
      break;
    }
}

static void
generate (struct rng *rng, char *text)
{
  const uint64_t framing = rng_below (rng, 3);
  const size_t size = rng_below (rng, 40);
  unsigned int headers = (unsigned int)rng_below (rng, 3);
  char length[48];

  text[0] = '\0';
  append_line (text, pick (rng, status_lines, COUNT (status_lines)));
  append_line (text, ID_HEADER);
  append_line (text, "X-Worker-Signature: " OWN_SIGNATURE);
  for (; headers > 0; headers--)
    if (rng_below (rng, 3) == 0)
      append_line (text, pick (rng, extra_headers, COUNT (extra_headers)));
  snprintf (length, sizeof length, "Content-Length: %zu\r\n", size);
  if (framing == 0)
    append_line (text, length);
  else
    append_line (text, framing == 1 ? "Transfer-Encoding: chunked\r\n" : "");
  if (framing == 1)
    append_chunks (rng, text);
  else
    append_bytes (rng, text, size);
  while (rng_below (rng, 3) == 0 && strlen (text) > 1)
    damage (rng, text);
  if (rng_below (rng, 10) == 0)
    text[rng_below (rng, strlen (text))] = '\0';
}

/* The strict reader. */

/* @return the line without its CRLF, and sets `next`; NULL if there is no
   complete and valid one. */
static char *
read_line (char *at, char **next)
{
  char *end = strchr (at, '\n');

  if (end == NULL || end == at || end[-1] != '\r')
    return NULL;
  end[-1] = '\0';
  *next = end + 1;
  return at;
}

static bool
is_value (const char *text)
{
  for (; *text != '\0'; text++)
    if (((unsigned char)*text < ' ' && *text != '\t') || *text == '\x7f')
      return false;
  return true;
}

static bool
read_status (const char *line, int *status)
{
  if (strncmp (line, "HTTP/1.", 7) != 0 || strlen (line) < 12
      || strspn (line + 7, "0123456789") != 1 || line[8] != ' '
      || strspn (line + 9, "0123456789") != 3
      || (line[12] != '\0' && line[12] != ' ') || !is_value (line + 12))
    return false;
  *status = atoi (line + 9);
  return true;
}

/** Framing headers of a response. */
struct framing
{
  bool has_length;
  bool chunked;
  unsigned long long length;
};

static bool
read_framing (const char *name, const char *value, struct framing *framing)
{
  unsigned long long length;
  char again[32];

  if (strcasecmp (name, "Transfer-Encoding") == 0)
    {
      if (framing->chunked || strcasecmp (value, "chunked") != 0)
        return false;
      framing->chunked = true;
    }
  if (strcasecmp (name, "Content-Length") == 0)
    {
      length = strtoull (value, NULL, 10);
      snprintf (again, sizeof again, "%llu", length);
      if (value[0] == '\0' || value[strspn (value, "0123456789")] != '\0'
          || strcmp (again,
                     value + strspn (value, "0") - (length == 0 ? 1 : 0))
                 != 0
          || (framing->has_length && framing->length != length))
        return false;
      framing->has_length = true;
      framing->length = length;
    }
  return true;
}

static bool
is_header (const char *line)
{
  const size_t size = strspn (line, TOKEN_CHARACTERS);

  return size > 0 && line[size] == ':' && is_value (line + size + 1);
}

static bool
read_header (char *line, struct framing *framing, struct message *message,
             bool *has_id)
{
  char *end = line + strspn (line, TOKEN_CHARACTERS);
  char *value = end + strspn (end, " \t");

  if (end == line || *value != ':')
    return false;
  value++;
  *end = '\0';
  if (!is_value (value))
    return false;
  value += strspn (value, " ");
  if (strcasecmp (line, "X-Attempt-Id") == 0 && !*has_id)
    {
      *has_id = true;
      message->is_own = strcmp (value, OWN_ID) == 0;
    }
  return read_framing (line, value, framing);
}

/* Whether a size is followed by the end of its line, or by an extension. */
static bool
is_chunk_end (const char *text)
{
  return strncmp (text, "\r\n", 2) == 0 || text[strspn (text, " \t")] == ';';
}

static void
read_chunks (char *text, struct message *message)
{
  char *data;
  char *line;
  unsigned long long size;
  size_t digits;

  for (;;)
    {
      digits = strspn (text, "0123456789abcdefABCDEF");
      data = strstr (text, "\r\n");
      size = strtoull (text, NULL, 16);
      if (digits == 0 || data == NULL || !is_chunk_end (text + digits)
          || size > RESPONSE_MAX || digits > 16 + strspn (text, "0"))
        return;
      data += 2;
      if (size == 0)
        break;
      if (size + 2 > strlen (data) || strncmp (data + size, "\r\n", 2) != 0)
        return;
      memcpy (message->body + message->size, data, size);
      message->size += size;
      text = data + size + 2;
    }
  while ((line = read_line (data, &data)) != NULL && line[0] != '\0')
    if (!is_header (line))
      return;
  message->complete = line != NULL;
}

/* @param text  is changed. */
static void
read_strictly (char *text, bool closed, struct message *message)
{
  struct framing framing = { .length = 0 };
  bool has_id = false;
  char *line = read_line (text, &text);
  int status;

  memset (message, 0, sizeof *message);
  if (line == NULL || !read_status (line, &status))
    return;
  while ((line = read_line (text, &text)) != NULL && line[0] != '\0')
    if (!read_header (line, &framing, message, &has_id))
      return;
  if (line == NULL || (framing.has_length && framing.chunked))
    return;
  message->status = status;
  if (framing.chunked)
    {
      read_chunks (text, message);
      return;
    }
  message->size = strlen (text);
  message->complete
      = framing.has_length ? framing.length <= message->size : closed;
  if (framing.has_length && framing.length < message->size)
    message->size = framing.length;
  memcpy (message->body, text, message->size);
}

/* Comparing. */

static void
report (unsigned long number, const char *what, const char *response,
        const struct gatefixture *fixture)
{
  printf ("response %lu, seed %llu: %s\n--- response\n%s\n--- client%s\n%s\n",
          number, (unsigned long long)seed, what, response,
          fixture->client.closed ? ", closed" : "", fixture->client.got);
  CU_FAIL ("a response was understood in another way");
}

/* Nothing that is not a whole response of the upstream looks like one, and a
   plain whole one arrives. */
static void
compare (unsigned long number, const char *response, bool reset, bool plain,
         const struct gatefixture *fixture)
{
  static char copy[RESPONSE_MAX];
  static char got[UPSTREAMSERVER_MESSAGE_SIZE];
  static struct message sent;
  static struct message received;
  bool forwarded;

  snprintf (copy, sizeof copy, "%s", response);
  read_strictly (copy, !reset, &sent);
  memcpy (got, fixture->client.got, fixture->client.size);
  got[fixture->client.size] = '\0';
  read_strictly (got, false, &received);
  forwarded = received.status / 100 == 2 && received.complete;
  if (received.status == 0 && fixture->client.size > 0)
    report (number, "the client gets no response", response, fixture);
  else if (forwarded
           && (sent.status != received.status || !sent.complete || !sent.is_own
               || sent.size != received.size
               || memcmp (sent.body, received.body, sent.size) != 0))
    report (number, "forwarded as whole", response, fixture);
  else if (plain && !forwarded)
    report (number, "not forwarded", response, fixture);
}

/* Whether the client has got a whole response, or none will come. */
static bool
is_answered (const struct gatefixture *fixture)
{
  static char got[UPSTREAMSERVER_MESSAGE_SIZE];
  static struct message received;

  memcpy (got, fixture->client.got, fixture->client.size);
  got[fixture->client.size] = '\0';
  read_strictly (got, false, &received);
  return received.complete || fixture->client.closed;
}

static void
send_request (struct gatefixture *fixture, unsigned long number)
{
  char request[256];

  snprintf (request, sizeof request,
            "POST /once/%lu HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: " OWN_ID "\r\nX-Deadline-Remaining-Ms: 5000\r\n"
            "X-Credential: key-1\r\nContent-Length: 0\r\n\r\n",
            number);
  platclient_finish (&fixture->client);
  platclient_init (&fixture->client, fixture->base,
                   httpd_port (fixture->gateway.httpd));
  platclient_send (&fixture->client, request);
  gatefixture_run_until (fixture, is_answered);
}

/* @return whether the response has nothing odd about it. */
static bool
is_plain (const char *response)
{
  static char copy[RESPONSE_MAX];
  static struct message sent;

  snprintf (copy, sizeof copy, "%s", response);
  read_strictly (copy, true, &sent);
  return sent.status == 200 && sent.complete && sent.is_own
         && strstr (response, "\nX-Worker-Signature: " OWN_SIGNATURE "\r\n")
                != NULL
         && strcasestr (response, "X-Not-Executed") == NULL;
}

static void
test_random_responses (void)
{
  static char response[RESPONSE_MAX];
  struct gatefixture fixture;
  struct upstreamserver *upstream = &fixture.upstreams[0];
  struct rng rng;
  unsigned long i;
  unsigned long plain = 0;
  bool reset;

  rng_init (&rng, seed);
  gatefixture_init (&fixture, true);
  upstream->behaviour = UPSTREAMSERVER_SCRIPT;
  upstream->script = response;
  fixture.upstreams[1].behaviour = UPSTREAMSERVER_REJECT;
  for (i = 0; i < response_count && CU_get_number_of_failures () == 0; i++)
    {
      generate (&rng, response);
      reset = rng_below (&rng, 8) == 0;
      upstream->script_size = strlen (response);
      upstream->script_pause
          = rng_below (&rng, 2) == 0
                ? rng_below (&rng, upstream->script_size + 1)
                : 0;
      upstream->script_end
          = reset ? UPSTREAMSERVER_END_RESET : UPSTREAMSERVER_END_CLOSE;
      plain += !reset && is_plain (response);
      send_request (&fixture, i);
      compare (i, response, reset, !reset && is_plain (response), &fixture);
    }
  CU_ASSERT (plain > response_count / 10);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "random and damaged responses", test_random_responses },
};

int
main (int argc, char **argv)
{
  if (argc > 1)
    response_count = strtoul (argv[1], NULL, 10);
  if (argc > 2)
    seed = strtoull (argv[2], NULL, 10);
  return suite_run ("test_response_fuzz", tests, COUNT (tests));
}

/**
 * @file flow.c
 * Parser of flow arguments.
 */
#include "flow.h"
#include "standin/body.h"
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int set_field (struct flow *flow, const char *key, const char *value);
static int set_routers (struct flow *flow, const char *value);
static int set_output_tokens (struct flow *flow, const char *value);
static int set_kind (struct flow *flow, const char *value);
static int validate (const struct flow *flow);

/** Maps a key of the argument to a member of struct flow. */
struct field
{
  const char *key;
  size_t offset;
};

/** A key whose value has a parser of its own. */
struct parsed_field
{
  const char *key;
  int (*set) (struct flow *flow, const char *value);
};

static const struct field text_fields[] = {
  { "name", offsetof (struct flow, name) },
  { "key", offsetof (struct flow, key) },
  { "profile", offsetof (struct flow, profile) },
  { "service", offsetof (struct flow, service) },
};

static const struct field number_fields[] = {
  { "weight", offsetof (struct flow, weight) },
  { "concurrency", offsetof (struct flow, concurrency) },
  { "rate", offsetof (struct flow, rate) },
  { "limit", offsetof (struct flow, limit) },
  { "long", offsetof (struct flow, long_tokens) },
  { "long_permille", offsetof (struct flow, long_permille) },
  { "prompt", offsetof (struct flow, prompt_bytes) },
  { "start_ms", offsetof (struct flow, start_ms) },
  { "stop_ms", offsetof (struct flow, stop_ms) },
  { "on_ms", offsetof (struct flow, on_ms) },
  { "off_ms", offsetof (struct flow, off_ms) },
  { "think_ms", offsetof (struct flow, think_ms) },
};

static const struct field flag_fields[] = {
  { "stream", offsetof (struct flow, streamed) },
  { "chat", offsetof (struct flow, chat) },
  { "idempotent", offsetof (struct flow, idempotent) },
};

static const struct parsed_field parsed_fields[] = {
  { "routers", set_routers },
  { "tokens", set_output_tokens },
  { "kind", set_kind },
};

static const char *const outcome_names[FLOW_OUTCOME_MAX] = {
  [FLOW_COMPLETE] = "whole",
  [FLOW_REFUSED_NOT_RUN] = "refused_not_run",
  [FLOW_REFUSED_MAY_HAVE_RUN] = "refused_may_have_run",
  [FLOW_REFUSED_RAN] = "refused_ran",
  [FLOW_TRUNCATED] = "cut",
  [FLOW_NO_RESPONSE] = "missing",
  [FLOW_MISMATCHED] = "crossed",
  [FLOW_REFUSED_NO_VERDICT] = "unclear",
};

#define ARRAY_LENGTH(table) (sizeof (table) / sizeof ((table)[0]))

int
flow_parse (struct flow *flow, const char *argument)
{
  char *copy = strdup (argument);
  char *save = NULL;
  char *field;
  char *value;
  int status = 0;

  memset (flow, 0, sizeof (*flow));
  flow->weight = 1;
  flow->concurrency = 1;
  flow->output_min = 16;
  flow->output_max = 16;
  flow->prompt_bytes = 64;
  for (field = strtok_r (copy, ",", &save); field != NULL && status == 0;
       field = strtok_r (NULL, ",", &save))
    {
      value = strchr (field, '=');
      if (value == NULL)
        status = -1;
      else
        {
          *value++ = '\0';
          status = set_field (flow, field, value);
        }
      if (status != 0)
        fprintf (stderr, "load: invalid field %s in flow %s\n", field,
                 argument);
    }
  free (copy);
  return status != 0 ? status : validate (flow);
}

uint64_t
flow_largest_cost (const struct flow *flow, uint32_t input_cost,
                   uint32_t output_cost)
{
  uint64_t output = flow->output_max;

  if (flow->long_permille > 0 && flow->long_tokens > output)
    output = flow->long_tokens;
  return flow->prompt_bytes / BODY_PROMPT_BYTES_PER_TOKEN
             * (uint64_t)input_cost
         + output * output_cost;
}

const char *
flow_outcome_name (enum flow_outcome outcome)
{
  return outcome_names[outcome];
}

static int
set_field (struct flow *flow, const char *key, const char *value)
{
  char *base = (char *)flow;
  size_t i;

  for (i = 0; i < ARRAY_LENGTH (text_fields); i++)
    if (strcmp (key, text_fields[i].key) == 0)
      {
        snprintf (base + text_fields[i].offset, FLOW_NAME_SIZE, "%s", value);
        return 0;
      }
  for (i = 0; i < ARRAY_LENGTH (number_fields); i++)
    if (strcmp (key, number_fields[i].key) == 0)
      {
        *(uint32_t *)(void *)(base + number_fields[i].offset)
            = (uint32_t)strtoul (value, NULL, 10);
        return 0;
      }
  for (i = 0; i < ARRAY_LENGTH (flag_fields); i++)
    if (strcmp (key, flag_fields[i].key) == 0)
      {
        *(bool *)(base + flag_fields[i].offset) = strcmp (value, "0") != 0;
        return 0;
      }
  for (i = 0; i < ARRAY_LENGTH (parsed_fields); i++)
    if (strcmp (key, parsed_fields[i].key) == 0)
      return parsed_fields[i].set (flow, value);
  return -1;
}

/* Parses router indices separated by '+'. */
static int
set_routers (struct flow *flow, const char *value)
{
  char *end;

  while (*value != '\0')
    {
      if (flow->router_count == FLOW_ROUTERS_MAX)
        return -1;
      flow->routers[flow->router_count++]
          = (uint32_t)strtoul (value, &end, 10);
      if (end == value)
        return -1;
      value = *end == '+' ? end + 1 : end;
      if (*end != '+' && *end != '\0')
        return -1;
    }
  return 0;
}

/* Parses a number or a range MIN-MAX. */
static int
set_output_tokens (struct flow *flow, const char *value)
{
  char *end;

  flow->output_min = (uint32_t)strtoul (value, &end, 10);
  flow->output_max = flow->output_min;
  if (*end == '-')
    flow->output_max = (uint32_t)strtoul (end + 1, &end, 10);
  return *end == '\0' && flow->output_max >= flow->output_min ? 0 : -1;
}

static int
set_kind (struct flow *flow, const char *value)
{
  flow->kind = strcmp (value, "plain") == 0 ? FLOW_PLAIN : FLOW_ENGINE;
  return flow->kind == FLOW_PLAIN || strcmp (value, "engine") == 0 ? 0 : -1;
}

static int
validate (const struct flow *flow)
{
  if (flow->name[0] != '\0' && flow->weight > 0 && flow->concurrency > 0
      && flow->output_min > 0)
    return 0;
  fputs ("load: flow without name, weight, concurrency or tokens\n", stderr);
  return -1;
}

/**
 * @file test_request_digest.c
 * What makes requests the same: method, host, path, customer and body; without
 * a body also the model and the parts of the prompt.
 */
#include "state/request_digest.h"
#include "support/suite.h"

static const uint64_t parts[] = { 7, 8 };
static const uint64_t other_parts[] = { 7, 9 };

static const struct request_digest_input base = {
  .method = "POST",
  .host = "shop.example",
  .path = "/a/b?c=d",
  .customer_id = 5,
  .body = "body",
  .body_size = 4,
  .model = "m",
  .part_ids = parts,
  .part_count = 2,
};

static void
test_same_request (void)
{
  struct request_digest_input input = base;
  uint64_t digest = request_digest (&base);

  CU_ASSERT_NOT_EQUAL (digest, 0);
  input.host = "SHOP.example:80";
  CU_ASSERT_EQUAL (request_digest (&input), digest);
  input.part_ids = other_parts;
  input.model = NULL;
  CU_ASSERT_EQUAL (request_digest (&input), digest);
}

static void
test_other_requests (void)
{
  struct request_digest_input inputs[10];
  const size_t count = sizeof inputs / sizeof inputs[0];
  size_t i;
  size_t j;

  for (i = 0; i < count; i++)
    inputs[i] = base;
  inputs[1].method = "GET";
  inputs[2].host = "shop.example2";
  inputs[3].path = "/a/b?c=e";
  inputs[4].customer_id = 6;
  inputs[5].body = "bodz";
  /* The same bytes, divided otherwise between path and body. */
  inputs[6].path = "/a/b?c=db";
  inputs[6].body = "ody";
  inputs[6].body_size = 3;
  inputs[7].body_size = 0;
  inputs[8].body_size = 0;
  inputs[8].part_ids = other_parts;
  inputs[9].body_size = 0;
  inputs[9].model = "n";
  for (i = 0; i < count; i++)
    for (j = 0; j < i; j++)
      CU_ASSERT_NOT_EQUAL (request_digest (&inputs[i]),
                           request_digest (&inputs[j]));
}

static const struct suite_test tests[] = {
  { "the same request", test_same_request },
  { "other requests", test_other_requests },
};

SUITE_MAIN ("test_request_digest", tests)

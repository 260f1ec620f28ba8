#!/bin/sh
# Admin API of a router: tokens and roles, If-Match, errors with path and line,
# references between objects, and which role can see key digests.
# usage: regress_admin.sh BUILD
set -u

build=$1
work=$(mktemp -d)
passed=0
failed=0
router=

stop ()
{
  [ -z "$router" ] || { kill -KILL "$router" && wait "$router"; } 2>/dev/null
  rm -rf "$work"
}
trap stop EXIT

digest ()
{
  printf %s "$1" | sha256sum | cut -d' ' -f1
}

cat > "$work/router.yaml" <<YAML
router:
  instance: r1
  fleet: farm
  availability_zone: a
  client_address: 127.0.0.1:0
  admin_address: 127.0.0.1:0
  tokens:
    - operator: ana
      role: write
      token_sha256: $(digest token-of-ana)
    - operator: screen
      role: read
      token_sha256: $(digest token-of-screen)
services:
  - name: model
    kind: engine
    upstreams:
      - { address: "127.0.0.1:9001", availability_zone: a, slots: 4 }
profiles:
  - { name: review, service: model }
customers:
  - { name: studio, weight: 3, keys: [plain-key-of-studio] }
YAML

"$build/cherrylanding" serve "$work/router.yaml" 2> "$work/log" & router=$!
i=0
until grep -q 'msg=started' "$work/log"; do
  i=$((i + 1))
  [ $i -lt 200 ] || { cat "$work/log"; exit 1; }
  sleep 0.05
done
base=http://$(sed -n '/for=admin/s/.* address=\([^ ]*\).*/\1/p' "$work/log")

# expect NAME STATUS TEXT TOKEN METHOD PATH [BODY [HEADER]]: TEXT is a regular
# expression that must match a line of the response.
expect ()
{
  name=$1 status=$2 text=$3 token=$4 method=$5 path=$6 body=${7-}
  got=$(curl -s -m 10 -i -X "$method" -H "Authorization: Bearer $token" \
    -H "${8:-X-None: 1}" ${body:+-d "$body"} "$base$path")
  if echo "$got" | head -1 | grep -q " $status " \
    && echo "$got" | grep -q -- "$text"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED $name: wanted $status with '$text', got: $got"
  fi
}

ana=token-of-ana
screen=token-of-screen
customer=/admin/v1/customers/studio

expect "no token" 401 '"code":"token"' "" GET $customer
expect "wrong token" 401 '"code":"token"' token-of-anb GET $customer
expect "longer token" 401 '"code":"token"' token-of-ana2 GET $customer
expect "unknown path without token" 401 token "" GET /nothing
expect "unknown path" 404 '"code":"path"' $ana GET /nothing
expect "unknown collection" 404 '"code":"path"' $ana GET /admin/v1/things
expect "wrong method" 405 '"code":"method"' $ana POST /admin/v1/audit '{}'
expect "reader may read" 200 '"weight":3' $screen GET $customer
expect "reader sees short digests" 200 '"[0-9a-f]\{12\}\.\.\."' \
  $screen GET $customer
expect "writer sees digests" 200 "$(digest plain-key-of-studio)" \
  $ana GET $customer
expect "reader may not write" 403 '"code":"role"' $screen PUT $customer '{}'
expect "reader may not delete" 403 '"code":"role"' $screen DELETE $customer
expect "reader may not drain" 403 '"code":"role"' $screen POST \
  /admin/v1/drain '{}'

expect "If-Match 0 for an existing object" 409 '"operator":"settings"' $ana \
  PUT $customer '{"weight":4}' 'If-Match: 0'
expect "invalid If-Match" 400 '"code":"if_match"' $ana PUT $customer \
  '{"weight":4}' 'If-Match: new'
expect "If-Match with an old index" 409 '"index":3' $ana PUT $customer \
  '{"weight":4}' 'If-Match: 2'
expect "If-Match with the current index" 200 '"result":"changed"' $ana PUT \
  $customer '{"weight":4}' 'If-Match: 3'
expect "a reason that is not UTF-8" 400 '"code":"reason"' $ana PUT $customer \
  '{"weight":5}' "$(printf 'Cherrylanding-Reason: \377')"
expect "a reason that is too long" 400 '"code":"reason"' $ana PUT $customer \
  '{"weight":5}' "Cherrylanding-Reason: $(printf %0300d 0)"
expect "change without effect" 200 '"result":"unchanged"' $ana PUT $customer \
  '{"weight":4}'
expect "fields of a change in the audit trail" 200 \
  '"path":"weight","old":3,"new":4' $ana GET '/admin/v1/audit?key=customer/studio'

expect "body is not JSON" 400 '"code":"syntax".*"line":2' $ana PUT $customer '{
"weight":}'
expect "unknown field" 422 '"path":"wait".*"line":2' $ana PUT $customer '{
"wait":1}'
expect "out of range" 422 'out of range 1 to 1000' $ana PUT $customer \
  '{"weight":1001}'
expect "invalid name" 422 '"path":"name"' $ana PUT \
  '/admin/v1/customers/a%20b' '{}'
expect "rejected change has the verdict not-run" 422 \
  'Cherrylanding-Verdict: not-run' $ana PUT $customer '{"weight":0}'
expect "reference to an unknown service" 422 '"path":"service","line":2' \
  $ana PUT /admin/v1/profiles/other '{
"service":"none"}'
expect "delete a service in use" 422 "in use by profile 'review'" $ana DELETE \
  /admin/v1/services/model
expect "create another customer" 201 '"result":"created"' $ana PUT \
  /admin/v1/customers/other '{"keys":["plain-key-of-other"]}'
expect "key of another customer" 422 "belongs to customer 'other'" $ana \
  PUT $customer '{"keys":["plain-key-of-other"]}'
expect "delete a profile" 200 '"result":"deleted"' $ana DELETE \
  /admin/v1/profiles/review
expect "delete a deleted profile" 404 '"code":"not_found"' $ana DELETE \
  /admin/v1/profiles/review
expect "get a deleted profile" 404 '"code":"not_found"' $ana GET \
  /admin/v1/profiles/review
expect "delete a service no longer in use" 200 '"result":"deleted"' $ana \
  DELETE /admin/v1/services/model
expect "health" 200 ok "" GET /healthz
expect "readiness" 200 ready "" GET /readyz
expect "metrics" 200 '^# TYPE cherrylanding' "" GET /metrics
expect "status" 200 '"state":"live"' $screen GET /admin/v1/status
expect "instances" 200 '"instance":"r1"' $screen GET /admin/v1/instances

if grep -q -e plain-key -e token-of "$work/log"; then
  failed=$((failed + 1))
  echo "FAILED secret found in the log"
else
  passed=$((passed + 1))
fi

expect "drain" 202 '"state":"draining"' $ana POST /admin/v1/drain '{}'
if wait "$router"; then
  passed=$((passed + 1))
else
  failed=$((failed + 1))
  echo "FAILED drain: exit code"
fi
router=

echo "regress_admin: $passed passed, $failed failed"
[ "$failed" -eq 0 ]

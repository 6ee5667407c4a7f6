-- An engine is killed while it streams. Each of its answers must continue on
-- the other engine and arrive complete and in order.
local platform = start_platform()
local engines = {
  start_engine("engine-1", { tokens_per_second = 100 }),
  start_engine("engine-2", { tokens_per_second = 100 }),
}
local service = start_service("service-1")
put_default_rows(platform, engines, { service })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")

local calls = {}
for index = 1, 20 do
  calls[index] = begin(router_chat(router, "call-" .. index, "key-1", { max_tokens = 60 }))
end
for _, call in ipairs(calls) do
  wait_for_tokens(call, 5)
end
expect((counts(engines[1]).tokens_sent or 0) > 0, "engine-1 has sent tokens before it is killed")
kill("engine-1")
for index, call in ipairs(calls) do
  expect_complete_stream(finish(call), "call-" .. index, 60)
end

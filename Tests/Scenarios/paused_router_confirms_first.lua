-- A router is paused while a key is withdrawn. When it continues, it must not
-- serve requests from its outdated state, which still contains the key.
local platform = start_platform()
local service = start_service("service-1")
put_default_rows(platform, nil, { service })
local router = start_router("router-1", platform, {
  settings = { heartbeat = { interval_ms = 100, timeout_ms = 400, freshness_bound_ms = 1000 } },
})
wait_until_serves(router, "/stock", "key-1")
freeze("router-1")
put_rows(platform, { delete_key("key-1") })
rest(1500)
local waiting = {}
for index = 1, 5 do
  waiting[index] = begin(router_request(router, "/stock", "key-1"))
end
thaw("router-1")
for index, call in ipairs(waiting) do
  local answer = finish(call)
  expect(answer.status ~= 200, "request " .. index .. " of a withdrawn key isn't served")
  expect_equal(header(answer, "Lycheeseam-Verdict"), "not_run", "verdict of request " .. index)
end

-- A request that crashes every engine that runs it is sent repeatedly through
-- two routers. It must crash at most two engines, and other requests keep
-- working.
local platform = start_platform()
local engines = {}
for index = 1, 5 do
  engines[index] = start_engine("engine-" .. index, { tokens_per_second = 100 })
  control(engines[index], { crash_on = "poison-pill" })
end
local service = start_service("service-1")
put_default_rows(platform, engines, { service })
local routers = { start_router("router-1", platform) }
routers[2] = start_router("router-2", platform, { peers = { routers[1] } })
wait_until_serves(routers[1], "/stock", "key-1")
wait_until_serves(routers[2], "/stock", "key-1")

for attempt = 1, 6 do
  send(router_chat(routers[attempt % 2 + 1], "poison-pill", "key-1"))
end
local alive = 0
for _, engine in ipairs(engines) do
  alive = alive + (is_listening(engine.port) and 1 or 0)
end
expect(alive >= 3, "at least three of five engines are running, not " .. alive)
for index = 1, 4 do
  local name = "good-" .. index
  expect_complete_stream(send(router_chat(routers[index % 2 + 1], name, "key-1")), name, 8)
end

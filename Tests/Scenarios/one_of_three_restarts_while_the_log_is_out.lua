-- One of three routers is replaced during an outage of the log. It must serve
-- from a peer's snapshot without the log, and the others must keep serving.
local platform = start_platform()
local service = start_service("service-1")
put_default_rows(platform, nil, { service })
local first = start_router("router-1", platform)
local second = start_router("router-2", platform, { peers = { first } })
local third = start_router("router-3", platform, { peers = { first, second } })
for _, router in ipairs({ first, second, third }) do
  wait_until_serves(router, "/stock", "key-1")
end
wait_until_fleet_runs(first)

start_log_outage(platform)
kill("router-3")
expect_equal(send(router_request(first, "/stock", "key-1")).status, 200, "status at another router")
third = start_router("router-3", platform, { peers = { first, second } })
wait_until_serves(third, "/stock", "key-1")

end_log_outage(platform)
put_rows(platform, { key_row("key-new", "shop-1") })
for _, router in ipairs({ first, second, third }) do
  wait_until_serves(router, "/stock", "key-new")
end

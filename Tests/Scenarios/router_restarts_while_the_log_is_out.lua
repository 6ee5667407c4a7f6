-- One of two routers is replaced during an outage of the log. It must serve
-- from the peer's snapshot without the log, and the other must keep serving.
local platform = start_platform()
local service = start_service("service-1")
put_default_rows(platform, nil, { service })
local first = start_router("router-1", platform)
local second = start_router("router-2", platform, { peers = { first } })
wait_until_serves(first, "/stock", "key-1")
wait_until_serves(second, "/stock", "key-1")

start_log_outage(platform)
kill("router-2")
expect_equal(send(router_request(first, "/stock", "key-1")).status, 200, "status at the other router")
second = start_router("router-2", platform, { peers = { first } })
wait_until_serves(second, "/stock", "key-1")

end_log_outage(platform)
put_rows(platform, { key_row("key-new", "shop-1") })
wait_until_serves(first, "/stock", "key-new")
wait_until_serves(second, "/stock", "key-new")

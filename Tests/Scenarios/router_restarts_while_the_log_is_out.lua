-- The platform is out and a router is replaced: it serves at once from a
-- peer's snapshot, and the other one serves on.
local platform = start_platform()
local service = start_service("service-1")
put_usual_rows(platform, nil, { service })
local first = start_router("router-1", platform)
local second = start_router("router-2", platform, { peers = { first } })
wait_until_serves(first, "/stock", "key-1")
wait_until_serves(second, "/stock", "key-1")

log_out(platform)
kill("router-2")
expect_equal(send(ask(first, "/stock", "key-1")).status, 200, "status at the other router")
second = start_router("router-2", platform, { peers = { first } })
wait_until_serves(second, "/stock", "key-1")

log_in(platform)
put_rows(platform, { key_row("key-new", "shop-1") })
wait_until_serves(first, "/stock", "key-new")
wait_until_serves(second, "/stock", "key-new")

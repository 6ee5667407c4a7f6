-- The log is unreachable for all routers. They must keep serving from their
-- current state and refuse bookings, which need a claim, as "not run"; after
-- the outage a refused booking can be sent again and runs once.
local platform = start_platform()
local engine = start_engine("engine-1", { tokens_per_second = 400 })
local service = start_service("service-1")
put_default_rows(platform, { engine }, { service })
local first = start_router("router-1", platform)
local second = start_router("router-2", platform, { peers = { first } })
wait_until_serves(first, "/stock", "key-1")
wait_until_serves(second, "/stock", "key-1")
wait_until_fleet_runs(first)
start_log_outage(platform)
-- Longer than the freshness bound of 3 s: peers confirm each other's state.
holds_for("lookups are served", 4000, function()
  return send(router_request(first, "/stock", "key-1")).status == 200
    and send(router_request(second, "/stock", "key-1")).status == 200
end)
expect_complete_stream(send(router_chat(first, "in-the-outage", "key-1")), "in-the-outage", 8)
local refused = send(booking(first, "claimed", "key-1"))
expect_equal(header(refused, "Lycheeseam-Verdict"), "not_run", "verdict of a booking")
expect_equal(runs(service, "claimed"), 0, "runs of the refused booking")
end_log_outage(platform)
wait_until("the booking is served", function()
  return send(booking(second, "claimed", "key-1")).status == 200
end)
expect_equal(runs(service, "claimed"), 1, "runs of the booking")

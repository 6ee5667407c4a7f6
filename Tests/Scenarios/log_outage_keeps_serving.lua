-- The log is out for all: routers serve on what they know, bookings that need
-- a claim are refused as "not run", and nothing is lost once it is back.
local platform = start_platform()
local engine = start_engine("engine-1", { tokens_per_second = 400 })
local service = start_service("service-1")
put_usual_rows(platform, { engine }, { service })
local first = start_router("router-1", platform)
local second = start_router("router-2", platform, { peers = { first } })
wait_until_serves(first, "/stock", "key-1")
wait_until_serves(second, "/stock", "key-1")
wait_until_fleet_runs(first)
log_out(platform)
-- Longer than the freshness bound of 3 s: peers confirm each other.
holds_for("lookups are served", 4000, function()
  return send(ask(first, "/stock", "key-1")).status == 200
    and send(ask(second, "/stock", "key-1")).status == 200
end)
expect_whole_stream(send(ask_chat(first, "in-the-outage", "key-1")), "in-the-outage", 8)
local refused = send(booking(first, "claimed", "key-1"))
expect_equal(header(refused, "Lycheeseam-Verdict"), "not_run", "verdict of a booking")
expect_equal(runs(service, "claimed"), 0, "runs of the refused booking")
log_in(platform)
wait_until("the booking goes through", function()
  return send(booking(second, "claimed", "key-1")).status == 200
end)
expect_equal(runs(service, "claimed"), 1, "runs of the booking")

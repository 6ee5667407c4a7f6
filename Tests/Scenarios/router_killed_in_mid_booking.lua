-- A router is killed while a booking runs; the caller repeats it through the
-- other router. It runs once, and no answer says that it didn't.
local platform = start_platform()
local service = start_service("service-1")
put_usual_rows(platform, nil, { service })
local first = start_router("router-1", platform)
local second = start_router("router-2", platform, { peers = { first } })
wait_until_serves(first, "/stock", "key-1")
wait_until_serves(second, "/stock", "key-1")

control(service, { delay_ms = 1000 })
local call = begin(booking(first, "once", "key-1"))
wait_until("the booking runs", function() return runs(service, "once") == 1 end)
kill("router-1")
expect(finish(call).error ~= "", "the first caller's connection is lost")

control(service, { delay_ms = 0 })
for _ = 1, 5 do
  local repeated = send(booking(second, "once", "key-1"))
  expect(header(repeated, "Lycheeseam-Verdict") ~= "not_run", "a repeat never hears that it hasn't run")
end
expect_equal(runs(service, "once"), 1, "runs of the booking")

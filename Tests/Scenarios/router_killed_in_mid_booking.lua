-- A router is killed while a booking runs, and the caller sends it again
-- through the other router. It must run once, and no answer may say "not run".
local platform = start_platform()
local service = start_service("service-1")
put_default_rows(platform, nil, { service })
local first = start_router("router-1", platform)
local second = start_router("router-2", platform, { peers = { first } })
wait_until_serves(first, "/stock", "key-1")
wait_until_serves(second, "/stock", "key-1")

control(service, { delay_ms = 1000 })
local call = begin(booking(first, "once", "key-1"))
wait_until("the booking runs", function() return runs(service, "once") == 1 end)
kill("router-1")
expect(finish(call).error ~= "", "the first caller's connection is closed")

control(service, { delay_ms = 0 })
for _ = 1, 5 do
  local repeated = send(booking(second, "once", "key-1"))
  expect(header(repeated, "Lycheeseam-Verdict") ~= "not_run", "a repeat is not answered as not run")
end
expect_equal(runs(service, "once"), 1, "runs of the booking")

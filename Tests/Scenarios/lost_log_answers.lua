-- The log accepts claims, but its answers are lost or the claims land late.
-- Each booking must still run at most once, and "not run" must be true.
local platform = start_platform()
local service = start_service("service-1")
put_default_rows(platform, nil, { service })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")
for index = 1, 6 do
  local id = "booking-" .. index
  local faults = index % 2 == 0 and { lose_answers = 1 } or { late_appends = 1, late_by_ms = 200 }
  platform_faults(platform, faults)
  local answer = send(booking(router, id, "key-1"))
  local ran = runs(service, id)
  expect(ran <= 1, id .. " runs at most once, not " .. ran)
  if header(answer, "Lycheeseam-Verdict") == "not_run" then
    expect_equal(ran, 0, "runs of " .. id .. ", which was answered as not run")
  end
  platform_faults(platform)
  for _ = 1, 2 do
    send(booking(router, id, "key-1"))
  end
  expect(runs(service, id) <= 1, id .. " runs at most once when it is sent again")
end

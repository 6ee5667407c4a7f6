-- The log takes claims but its answers are lost, or come late: each booking
-- still runs at most once, and "not run" is true.
local platform = start_platform()
local service = start_service("service-1")
put_usual_rows(platform, nil, { service })
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
    expect_equal(ran, 0, "runs of " .. id .. ", said not to have run")
  end
  platform_faults(platform)
  for _ = 1, 2 do
    send(booking(router, id, "key-1"))
  end
  expect(runs(service, id) <= 1, id .. " runs at most once over its repeats")
end

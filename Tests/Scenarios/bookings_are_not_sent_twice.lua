-- Against a service that closes a reused connection once it has read the
-- second POST: the booking runs once, and what its caller hears is true.
local platform = start_platform()
local service = start_service("service-1")
put_usual_rows(platform, nil, { service })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")
control(service, { close_after_posts = 2 })
for index = 1, 10 do
  local id = "booking-" .. index
  local answer = send(booking(router, id, "key-1", { no_key = true }))
  expect_equal(runs(service, id), 1, "runs of " .. id)
  expect_equal(answer.status, 200, "status of " .. id)
end

-- A service that never answers a first POST: it may have run, and isn't tried
-- again.
control(service, { close_after_posts = 1 })
local answer = send(booking(router, "unanswered", "key-1", { no_key = true }))
expect_equal(runs(service, "unanswered"), 1, "runs of the unanswered booking")
expect_equal(header(answer, "Lycheeseam-Verdict"), "may_have_run", "verdict")

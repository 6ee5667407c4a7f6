-- A service closes a reused connection after it has read the second POST. The
-- booking must run once, and the answer to its caller must be true.
local platform = start_platform()
local service = start_service("service-1")
put_default_rows(platform, nil, { service })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")
control(service, { close_after_posts = 2 })
for index = 1, 10 do
  local id = "booking-" .. index
  local answer = send(booking(router, id, "key-1", { no_key = true }))
  expect_equal(runs(service, id), 1, "runs of " .. id)
  expect_equal(answer.status, 200, "status of " .. id)
end

-- The service closes the connection without answering the first POST. The
-- booking may have run, so it must not be retried.
control(service, { close_after_posts = 1 })
local answer = send(booking(router, "unanswered", "key-1", { no_key = true }))
expect_equal(runs(service, "unanswered"), 1, "runs of the unanswered booking")
expect_equal(header(answer, "Lycheeseam-Verdict"), "may_have_run", "verdict")

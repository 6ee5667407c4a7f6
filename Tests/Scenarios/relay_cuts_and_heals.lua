-- The runner's relay: held back while cut, through when healed, and an answer
-- that is lost after its request has run.
local service = start_service("service-1")
local way = HOST .. relay("way", service.port)
expect_equal(send({ url = way .. "/stock" }).status, 200, "status before the cut")

cut("way")
local held = begin { url = way .. "/stock" }
local late = send { url = way .. "/stock", timeout_ms = 200 }
expect(late.error ~= "", "a cut way answers nothing")
heal("way")
expect_equal(finish(held).status, 200, "status of a call that was held back")

lose_next_answer("way")
local lost = send { url = way .. "/bookings", body = { id = "lost" } }
expect_equal(lost.status, 0, "status of a lost answer")
expect_equal(runs(service, "lost"), 1, "runs of a booking whose answer was lost")
expect_equal(send({ url = way .. "/stock" }).status, 200, "status after the loss")

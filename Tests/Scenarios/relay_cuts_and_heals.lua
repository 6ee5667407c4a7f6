-- Checks the runner's relay: it holds bytes back while cut, forwards them when
-- healed, and can lose the answer to a request that has run.
local service = start_service("service-1")
local relay_url = HOST .. relay("way", service.port)
expect_equal(send({ url = relay_url .. "/stock" }).status, 200, "status before the cut")

cut("way")
local held = begin { url = relay_url .. "/stock" }
local late = send { url = relay_url .. "/stock", timeout_ms = 200 }
expect(late.error ~= "", "no answer arrives through a cut relay")
heal("way")
expect_equal(finish(held).status, 200, "status of a call that was held back")

lose_next_answer("way")
local lost = send { url = relay_url .. "/bookings", body = { id = "lost" } }
expect_equal(lost.status, 0, "status of a lost answer")
expect_equal(runs(service, "lost"), 1, "runs of a booking whose answer was lost")
expect_equal(send({ url = relay_url .. "/stock" }).status, 200, "status after the loss")

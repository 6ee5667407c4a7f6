-- Checks the runner's verbs freeze and thaw: a paused process doesn't answer,
-- and answers again after the pause.
local service = start_service("service-1")
freeze("service-1")
expect(send({ url = service.url .. "/stock", timeout_ms = 200 }).error ~= "", "no answer while paused")
thaw("service-1")
expect_equal(send({ url = service.url .. "/stock" }).status, 200, "status after the pause")
expect_equal(stop("service-1", BOUND_MS).signal, 15, "signal that ended it")

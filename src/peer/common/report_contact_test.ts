import test from "ava";
import { ReportContact } from "./report_contact.ts";

const INTERVAL_MS = 100;

class Setup {
  now = 10_000;
  readonly contact = new ReportContact(() => this.now);

  /** Receives the reports of instances for a time. */
  hear(hosts: readonly string[], ms: number, isIdle = false): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += INTERVAL_MS) {
      for (const host of hosts) this.contact.record(host, { isIdle });
      this.now += INTERVAL_MS;
    }
  }
}

test("an instance that hears all others has always been in contact", (t) => {
  const setup = new Setup();
  t.is(setup.contact.sinceMs, -Infinity);
  setup.hear(["a", "b", "c"], 3000);
  t.is(setup.contact.sinceMs, -Infinity);
});

test("an instance that is cut off from the others is out of contact until most of them are heard again", (t) => {
  const setup = new Setup();
  setup.hear(["a", "b", "c"], 3000);
  setup.now += 1000;
  t.is(setup.contact.sinceMs, Infinity);
  setup.contact.record("a", { isIdle: false });
  t.is(setup.contact.sinceMs, Infinity);
  setup.contact.record("b", { isIdle: false });
  t.is(setup.contact.sinceMs, setup.now);
});

// Guards against a gap that nobody notices, since what waited in the socket is read before anything else happens.
test("an instance that stood still has a gap although it hears all others as soon as it goes on", (t) => {
  const setup = new Setup();
  setup.hear(["a", "b", "c"], 3000);
  setup.now += 2000;
  const goesOnAtMs = setup.now;
  setup.hear(["a", "b", "c"], 1000);
  t.is(setup.contact.sinceMs, goesOnAtMs);
});

test("the loss of one instance, or of half of them, is no gap", (t) => {
  const setup = new Setup();
  setup.hear(["a", "b", "c", "d"], 3000);
  setup.hear(["c", "d"], 5000);
  t.is(setup.contact.sinceMs, -Infinity);
});

test("instances without requests report more rarely", (t) => {
  const setup = new Setup();
  setup.hear(["a", "b"], 1000, true);
  setup.now += 1200;
  t.is(setup.contact.sinceMs, -Infinity);
  setup.now += 500;
  t.is(setup.contact.sinceMs, Infinity);
});

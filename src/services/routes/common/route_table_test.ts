import test from "ava";
import type { IRoute, IRoutingConfiguration } from "./route_table.ts";
import { RouteKind, RouteTable, selectServiceByWeight } from "./route_table.ts";

function routeOf(name: string, prefix: string, host = "h.example"): IRoute {
  return {
    name,
    host,
    prefix,
    kind: RouteKind.Safe,
    services: [{ service: "s", weight: 1 }],
    timeoutMs: 1,
    targetMs: 1,
    priority: 0,
    attempts: 1,
    isSticky: false,
    isResumable: false,
    keepsHistory: false,
    retainMs: 0,
  };
}

function configurationOf(version: number, routes: readonly IRoute[]): IRoutingConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes, services: new Map(), limits };
}

test("the route with the longest matching prefix of the host is found", (t) => {
  const table = new RouteTable();
  table.updateIfNewer(
    configurationOf(1, [routeOf("short", "/a/"), routeOf("long", "/a/b/"), routeOf("other", "/", "o")]),
  );
  t.is(table.find("h.example", "/a/b/c?d=/x/")?.name, "long");
  t.is(table.find("H.Example:80", "/a/c")?.name, "short");
  t.is(table.find("h.example", "/a")?.name, undefined);
  t.is(table.find("o", "/a/b/")?.name, "other");
});

test("an older configuration is not applied", (t) => {
  const table = new RouteTable();
  t.true(table.updateIfNewer(configurationOf(7, [routeOf("new", "/a/")])));
  t.false(table.updateIfNewer(configurationOf(3, [routeOf("old", "/a/")])));
  t.is(table.find("h.example", "/a/")?.name, "new");
});

test("services are selected by weight", (t) => {
  const services = [{ service: "a", weight: 9 }, { service: "b", weight: 1 }];
  t.is(selectServiceByWeight(services, 0), "a");
  t.is(selectServiceByWeight(services, 0.89), "a");
  t.is(selectServiceByWeight(services, 0.91), "b");
});

// Guards against an error that ends requests to such a route without an answer.
test("a route without services selects none", (t) => {
  t.is(selectServiceByWeight([], 0.5), "");
});

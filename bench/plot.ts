/** Renders plots as SVG with Vega. */
import * as vega from "vega";
import * as vegaLite from "vega-lite";
import type { LoadResult } from "./loadRun.js";

/** Plots quantiles of the time to first token by policy and service class. */
export async function drawComparison(
    title: string,
    results: readonly { readonly policy: string; readonly result: LoadResult; }[],
): Promise<string> {
    const values = results.flatMap(({ policy, result }) =>
        (["interactive", "batch"] as const).flatMap(serviceClass =>
            (["p50", "p95", "p99"] as const).map(quantile => ({
                policy,
                serviceClass,
                quantile,
                firstTokenMs: result.firstToken[serviceClass][quantile],
            }))
        )
    );
    const specification: vegaLite.TopLevelSpec = {
        title,
        data: { values },
        facet: { column: { field: "serviceClass", title: undefined } },
        spec: {
            width: 340,
            height: 220,
            mark: { type: "point", filled: true, size: 70 },
            encoding: {
                x: { field: "firstTokenMs", type: "quantitative", scale: { type: "log" }, title: "time to first token, ms" },
                y: { field: "policy", type: "nominal", title: undefined, sort: results.map(item => item.policy) },
                color: { field: "quantile", type: "nominal" },
            },
        },
    };
    const view = new vega.View(vega.parse(vegaLite.compile(specification).spec), { renderer: "none" });
    return view.toSVG();
}

import * as echarts from "echarts";

const WIDTH = 720;
const HEIGHT = 360;

/** One line or one set of bars. */
export interface Series {
  readonly name: string;
  readonly points: readonly (readonly [number | string, number])[];
}

/** A plot of a report. */
export interface Chart {
  readonly title: string;
  readonly kind: "line" | "bar";
  readonly x: string;
  readonly y: string;
  readonly isLogarithmic?: boolean;
  readonly series: readonly Series[];
}

/** Draws a chart as SVG. */
export function renderChart(chart: Chart): string {
  const isLine = chart.kind === "line";
  const plot = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  plot.setOption({
    animation: false,
    title: { text: chart.title, left: "center", textStyle: { fontSize: 14 } },
    legend: { bottom: 0 },
    grid: { left: 80, right: 24, top: 48, bottom: 72 },
    xAxis: {
      type: isLine ? "value" : "category",
      name: chart.x,
      nameLocation: "middle",
      nameGap: 28,
    },
    yAxis: { type: chart.isLogarithmic ? "log" : "value", name: chart.y },
    series: chart.series.map((one) => ({
      name: one.name,
      type: chart.kind,
      data: one.points.map(([x, y]) => [x, y]),
    })),
  });
  const svg = plot.renderToSVGString();
  plot.dispose();
  return svg;
}

/**
 * Renders plots of the benchmark as SVG.
 *
 * @module
 */
import { createRequire } from 'node:module'

/** The part of the echarts API that is used here. The types of the package itself do not resolve for ES modules. */
interface Charts {
  init (element: null, theme: null, options: { renderer: 'svg', ssr: true, width: number, height: number }): {
    setOption (option: object): void
    renderToSVGString (): string
    dispose (): void
  }
}

const charts = createRequire(import.meta.url)('echarts') as Charts
const widthPx = 640
const heightPx = 240

/** A line of a plot, with one value per second. */
export interface PlotLine {
  /** Name in the legend. */
  name: string
  /** Values by second, from second 0. */
  values: number[]
}

/**
 * Renders a line plot over time.
 *
 * @param title Title of the plot
 * @param lines The lines
 * @returns The plot as SVG
 */
export function renderLinePlot (title: string, lines: PlotLine[]): string {
  const chart = charts.init(null, null, { renderer: 'svg', ssr: true, width: widthPx, height: heightPx })
  chart.setOption({
    animation: false,
    title: { text: title, textStyle: { fontSize: 13 } },
    legend: { right: 0 },
    grid: { left: 45, right: 15, top: 40, bottom: 25 },
    xAxis: { type: 'value', name: 's' },
    yAxis: { type: 'value', min: 0 },
    series: lines.map(line => {
      const data = line.values.map((value, second) => [second, Math.round(value * 1000) / 1000])
      return { type: 'line', name: line.name, showSymbol: false, data }
    })
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

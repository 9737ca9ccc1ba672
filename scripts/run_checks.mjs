/**
 * Runs the linter and the tests. Prints failures of tests that KNOWN-RED.txt lists, but does not fail because of them.
 *
 * An entry of KNOWN-RED.txt begins with the line `test: TITLE`, where TITLE is the title that AVA prints.
 *
 * @module
 */
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { stripVTControlCharacters } from 'node:util'

const root = fileURLToPath(new URL('..', import.meta.url))
const maxOutputBytes = 256 * 1024 * 1024

function runNode (args, options = {}) {
  return spawnSync(process.execPath, args, { cwd: root, encoding: 'utf8', maxBuffer: maxOutputBytes, ...options })
}

function readKnownRed () {
  const path = `${root}/KNOWN-RED.txt`
  if (!existsSync(path)) return []
  return readFileSync(path, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
}

/**
 * Parses the output of AVA's default reporter. AVA's TAP reporter is not used because it ends early when a test file times out or exits.
 *
 * The title of a failed test is followed on the same line by the message of its assertion.
 */
function parseResults (output) {
  const results = { passed: [], failed: [], skipped: [], crashes: [] }
  const patterns = [
    [/^\s+✔ (.*?)(?: \([\d.]+(?:ms|s|m)[^)]*\))?$/, results.passed],
    [/^\s+✘ \[fail\]: (.*)$/, results.failed],
    [/^\s+◌ (.*)$/, results.failed],
    [/^\s+- (?:\[skip\]|\[todo\]) (.*)$/, results.skipped],
    [/^\s+✘ ((?!\[).*)$/, results.crashes]
  ]
  for (const line of stripVTControlCharacters(output).split('\n')) {
    for (const [pattern, list] of patterns) {
      const title = pattern.exec(line)?.[1]?.trim()
      if (title !== undefined && !list.includes(title)) list.push(title)
    }
  }
  return results
}

/** Finds the title in the line of a failed test: the longest prefix of the line that is also printed as a line of its own. */
function findTitle (line, lines) {
  const words = line.split(' ')
  while (words.length > 0 && !lines.has(words.join(' '))) words.pop()
  return words.length > 0 ? words.join(' ') : line
}

const lint = runNode(['node_modules/eslint/bin/eslint.js', '.', '--max-warnings', '0'], { stdio: 'inherit' })
const tests = runNode(['node_modules/ava/entrypoints/cli.mjs', '--no-color', ...process.argv.slice(2)], { stdio: ['ignore', 'pipe', 'inherit'] })
process.stdout.write(tests.stdout)

const { passed, failed, skipped, crashes } = parseResults(tests.stdout)
const known = readKnownRed()
const lines = new Set(tests.stdout.split('\n').map(line => line.trim()))
const isKnown = line => known.includes(findTitle(line, lines))
const unexpected = [...failed.filter(line => !isKnown(line)), ...crashes]
if (tests.status !== 0 && failed.length === 0 && crashes.length === 0) unexpected.push(`ava ended with ${tests.status}`)
if (passed.length === 0) unexpected.push('no test passed')
if (lint.status !== 0) unexpected.push('linter')

for (const line of failed.filter(isKnown)) console.log(`known red: ${line}`)
for (const title of known.filter(other => passed.includes(other))) console.log(`listed in KNOWN-RED.txt, but passes: ${title}`)
for (const title of skipped) console.log(`not run: ${title}`)
for (const line of unexpected) console.log(`failed: ${line}`)
console.log(`${passed.length} passed, ${unexpected.length} failed`)
process.exitCode = unexpected.length > 0 ? 1 : 0

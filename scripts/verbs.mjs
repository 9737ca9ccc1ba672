/**
 * Reads the list of verbs that function names begin with from docs/STYLE.md.
 *
 * @module
 */
import { readFileSync } from 'node:fs'

const page = readFileSync(new URL('../docs/STYLE.md', import.meta.url), 'utf8')
const line = page.split('\n').find(text => text.startsWith('Verbs: ')) ?? ''

/** The verbs. */
export const verbs = new Set(line.slice('Verbs: '.length).replace(/[.`]/g, '').split(',').map(verb => verb.trim()))

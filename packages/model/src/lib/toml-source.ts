import { getStaticTOMLValue, parseTOML } from 'toml-eslint-parser';
import type { AST } from 'toml-eslint-parser';
import type { Finding } from './finding.js';

interface Place {
  readonly line: number;
  readonly column: number;
}

type KeyPath = readonly (string | number)[];

const placeKey = (path: KeyPath): string => JSON.stringify(path.map(String));

/** A TOML text, parsed, that remembers the place of each key. */
export class TomlSource {
  readonly value: Readonly<Record<string, unknown>>;
  readonly syntaxFindings: readonly Finding[];
  readonly #source: string;
  readonly #places = new Map<string, Place>();

  /**
   * @param source - file name for findings
   * @param text - the TOML text
   */
  constructor(source: string, text: string) {
    this.#source = source;
    try {
      const program = parseTOML(text);
      this.value = getStaticTOMLValue(program);
      this.syntaxFindings = [];
      program.body[0].body.forEach((node) => this.#visit(node, []));
    } catch (error) {
      const { message, lineNumber, column } = error as Error & Record<string, number>;
      this.value = {};
      this.syntaxFindings = [
        {
          source,
          line: lineNumber ?? 0,
          column: (column ?? -1) + 1,
          object: 'text',
          rule: 'toml-syntax',
          message,
          mend: 'write it as TOML 1.0 asks',
        },
      ];
    }
  }

  /**
   * Makes a finding at the place of a key, or of its nearest written parent.
   *
   * @param path - the key's path from the root
   * @param rest - what the finding says
   * @returns the finding with its place
   */
  findingAt(path: KeyPath, rest: Omit<Finding, 'source' | 'line' | 'column'>): Finding {
    for (let { length } = path; length >= 0; length -= 1) {
      const place = this.#places.get(placeKey(path.slice(0, length)));
      if (place) return { source: this.#source, ...place, ...rest };
    }
    return { source: this.#source, line: 1, column: 1, ...rest };
  }

  #remember(path: KeyPath, node: AST.TOMLNode): void {
    const key = placeKey(path);
    const { line, column } = node.loc.start;
    if (!this.#places.has(key)) this.#places.set(key, { line, column: column + 1 });
  }

  #visit(node: AST.TOMLTable | AST.TOMLKeyValue, base: KeyPath): void {
    if (node.type === 'TOMLTable') {
      const { resolvedKey } = node;
      resolvedKey.forEach((_, index) => {
        this.#remember(resolvedKey.slice(0, index + 1), node.key);
      });
      node.body.forEach((child) => this.#visit(child, resolvedKey));
      return;
    }
    let path = base;
    node.key.keys.forEach((part) => {
      path = [...path, part.type === 'TOMLBare' ? part.name : part.value];
      this.#remember(path, part);
    });
    this.#visitContent(node.value, path);
  }

  #visitContent(node: AST.TOMLContentNode, path: KeyPath): void {
    if (node.type === 'TOMLInlineTable') {
      node.body.forEach((child) => this.#visit(child, path));
    }
    if (node.type === 'TOMLArray') {
      node.elements.forEach((element, index) => {
        this.#remember([...path, index], element);
        this.#visitContent(element, [...path, index]);
      });
    }
  }
}

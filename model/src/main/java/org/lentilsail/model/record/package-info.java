/** Operators' records: kinds, schema versions, parsing, validation and updates. */
package org.lentilsail.model.record;

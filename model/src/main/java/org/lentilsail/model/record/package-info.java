/** Operators' records: kinds, schema versions, parsing, validation and amendment. */
package org.lentilsail.model.record;

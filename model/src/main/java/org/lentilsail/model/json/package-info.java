/** Reading of JSON objects that collects every fault instead of stopping at the first one. */
package org.lentilsail.model.json;
